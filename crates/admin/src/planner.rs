//! Creates, confirms and lists plans in the platform's key-value store.

use crate::{
    admin_error::AdminError, confirmed::Confirmed, diff_report::DiffReport, history::History,
    new_key::NewKey, plan_created::PlanCreated, plan_slot::PlanSlot,
};
use base::{KeyHash, OperatorName, PlanId, lock};
use fleet::{
    ConfirmedPlan, Document, Intent, IntentError, MAX_DOCUMENT_BYTES, Plan, PlanContext, PlanError,
    PlannedIntent, join_diffs,
};
use plat::{Kv, PlatformError, SwapOutcome, compare_and_swap};
use rand::{SeedableRng, rngs::StdRng};
use std::sync::{Mutex, MutexGuard};
use wire::platform::{KvEntry, KvWrite};

/// Key of the configuration document on the platform.
const CONFIG_KEY: &str = "config/current";

/// Maximum number of slots that are tried for a new plan.
const MAX_SLOT_ATTEMPTS: u32 = 8;

/// Number of records of confirmed plans under `history/`. A new record overwrites the one whose sequence number is
/// lower by this number.
const HISTORY_SLOTS: u64 = 512;

/// Creates and confirms plans by conditional writes to the platform's key-value store. The only state of a planner is a
/// random number generator, so any daemon can handle any request.
#[derive(Debug)]
pub struct Planner<K> {
    kv: K,
    rng: Mutex<StdRng>,
}

impl<K: Kv> Planner<K> {
    /// Creates a planner on a key-value store. `seed` determines the nonces of plans and must differ between daemons.
    pub fn new(kv: K, seed: u64) -> Self {
        Self { kv, rng: Mutex::new(StdRng::seed_from_u64(seed)) }
    }

    /// Builds a plan from intents on the current configuration and stores it. This takes two reads and one write, and a
    /// further read for each occupied slot.
    ///
    /// # Errors
    ///
    /// The intents cannot be applied to the configuration, the plan is too large, the platform does not answer or lacks
    /// active changes, or too many plans are open.
    pub async fn plan(
        &self,
        operator: OperatorName,
        now_ms: u64,
        intents: Vec<Intent>,
        context: &PlanContext,
    ) -> Result<PlanCreated, AdminError> {
        let (revision, document) = self.read_base(context).await?;
        let mut new_keys = Vec::new();
        let mut planned = Vec::new();
        for intent in intents {
            let new_key = intent.key_owner().map(NewKey::generate);
            let key_hash = new_key.as_ref().map(|new_key| KeyHash::of(&new_key.key));
            new_keys.extend(new_key);
            planned.push(PlannedIntent { intent, key_hash });
        }
        let mut slot = PlanSlot::random(&mut *self.rng());
        let id = slot.new_id(&mut *self.rng()).map_err(IntentError::from)?;
        let mut plan = Plan::build(id, operator, now_ms, revision, &document, planned, context)?;
        for _ in 0..MAX_SLOT_ATTEMPTS {
            let current = self.kv.get(&slot.key()).await?;
            let is_open = current
                .as_ref()
                .and_then(|item| serde_json::from_str::<Plan>(&item.value).ok())
                .is_some_and(|open| !open.is_expired(now_ms) && open.base_revision >= revision);
            if !is_open {
                plan.id = slot.new_id(&mut *self.rng()).map_err(IntentError::from)?;
                let value = serde_json::to_string(&plan)?;
                // The platform would reject a larger value with a status that looks like an outage.
                if value.len() > MAX_DOCUMENT_BYTES {
                    return Err(AdminError::PlanTooLarge(value.len()));
                }
                let write = KvWrite {
                    value,
                    expect_revision: Some(current.map_or(0, |item| item.revision)),
                    lease_id: None,
                };
                match self.kv.put(&slot.key(), &write).await {
                    Ok(_) => return Ok(PlanCreated { plan, new_keys }),
                    Err(PlatformError::Conflict(_)) => {}
                    Err(err) => return Err(err.into()),
                }
            }
            slot = slot.next();
        }
        Err(AdminError::TooManyPlans)
    }

    /// Reads a stored plan.
    ///
    /// # Errors
    ///
    /// `PlanNotFound` if the plan's slot is empty or holds another plan. Fails as well if the platform does not answer
    /// or the stored plan cannot be decoded.
    pub async fn show(&self, id: &PlanId) -> Result<Plan, AdminError> {
        let missing = || AdminError::PlanNotFound(id.clone());
        let slot = PlanSlot::from_id(id).ok_or_else(missing)?;
        let item = self.kv.get(&slot.key()).await?.ok_or_else(missing)?;
        let plan: Plan = serde_json::from_str(&item.value)?;
        if plan.id == *id { Ok(plan) } else { Err(missing()) }
    }

    /// Applies a plan by one compare-and-swap of the configuration document. This takes two reads and two writes and is
    /// idempotent.
    ///
    /// # Errors
    ///
    /// After `OutcomeUnknown` and `PlatformUnavailable` this or an earlier request may have applied the plan, and after
    /// `OutcomeNotRecorded` as well, because the record of the plan may have been dropped. After any other error the
    /// plan is not applied.
    pub async fn confirm(
        &self,
        id: &PlanId,
        now_ms: u64,
        context: &PlanContext,
    ) -> Result<Confirmed, AdminError> {
        let (revision, document) = self.read_base(context).await?;
        if let Some(record) = document.confirmed_plan(id) {
            return Ok(already_confirmed(record, revision));
        }
        let plan = self.show(id).await?;
        let after = match plan.confirm(revision, &document, now_ms, context) {
            Ok(after) => after,
            Err(PlanError::Stale(..)) => return Err(stale_error(&plan, revision, &document)),
            Err(PlanError::Expired) => return Err(AdminError::PlanExpired(id.clone())),
            Err(PlanError::Intent(cause)) => return Err(cause.into()),
        };
        let contains_plan = |item: &KvEntry| {
            Document::decode(&item.value)
                .is_ok_and(|document| document.confirmed_plan(id).is_some())
        };
        let value = after.encode()?;
        match compare_and_swap(&self.kv, CONFIG_KEY, value, revision, contains_plan).await {
            SwapOutcome::Written(revision) => {
                log::info!(
                    "admin: plan {id} of operator {} was confirmed at revision {revision}",
                    plan.operator
                );
                self.write_history(after.confirmed_plan(id)).await;
                let sequence = after.sequence;
                let plan_id = id.clone();
                Ok(Confirmed { plan_id, sequence, revision, was_confirmed_before: false })
            }
            SwapOutcome::Found(item) => {
                log::info!(
                    "admin: plan {id} of operator {} was found confirmed when the document was read back",
                    plan.operator
                );
                self.write_history(after.confirmed_plan(id)).await;
                let document = Document::decode(&item.value)?;
                let record = document.confirmed_plan(id);
                let record = record.ok_or_else(|| AdminError::OutcomeUnknown(id.clone()))?;
                Ok(already_confirmed(record, item.revision))
            }
            SwapOutcome::Refused(item) => {
                let document = Document::decode(&item.value)?;
                Err(stale_error(&plan, item.revision, &document))
            }
            SwapOutcome::Unknown(cause) => {
                log::warn!("admin: the outcome of plan {id} is unknown: {cause}");
                Err(AdminError::OutcomeUnknown(id.clone()))
            }
        }
    }

    /// Reads the latest confirmed plans, up to `limit`. This takes one read, and one more for each plan that the
    /// configuration document no longer lists.
    ///
    /// # Errors
    ///
    /// The platform does not answer, or a stored value cannot be decoded.
    pub async fn history(&self, limit: usize) -> Result<History, AdminError> {
        let (revision, document) = self.read_document().await?;
        let mut plans = document.recent_plans;
        plans.drain(..plans.len().saturating_sub(limit));
        while plans.len() < limit {
            let oldest = plans.first().map_or(document.sequence + 1, |plan| plan.sequence);
            let Some(wanted) = oldest.checked_sub(1).filter(|&wanted| wanted > 0) else { break };
            let Some(item) = self.kv.get(&history_key(wanted)).await? else { break };
            let plan: ConfirmedPlan = serde_json::from_str(&item.value)?;
            if plan.sequence != wanted {
                break;
            }
            plans.insert(0, plan);
        }
        Ok(History { revision, sequence: document.sequence, plans })
    }

    /// Joins the diffs of the plans between two revisions, as far as the history contains them.
    ///
    /// # Errors
    ///
    /// The platform does not answer, or a stored value cannot be decoded.
    pub async fn diff(&self, from: u64, to: u64) -> Result<DiffReport, AdminError> {
        let mut limit = fleet::MAX_RECENT_PLANS;
        let mut history = self.history(limit).await?;
        while history.plans.len() == limit
            && limit < HISTORY_SLOTS as usize
            && history.plans.first().is_some_and(|plan| plan.base_revision > from)
        {
            limit *= 2;
            history = self.history(limit).await?;
        }
        let is_within = |plan: &&ConfirmedPlan| (from..to).contains(&plan.base_revision);
        let plans: Vec<&ConfirmedPlan> = history.plans.iter().filter(is_within).collect();
        let covers_start =
            history.plans.first().map_or(from >= history.revision, |p| p.base_revision <= from);
        let is_complete = covers_start && plans.iter().all(|plan| plan.omitted_lines == 0);
        let lines = join_diffs(plans.iter().flat_map(|plan| &plan.lines));
        Ok(DiffReport { from, to, lines, is_complete })
    }

    /// Writes the history record of a plan. A failure leaves a gap in the history once the configuration document,
    /// which contains the latest records as well, no longer lists the plan.
    async fn write_history(&self, record: Option<&ConfirmedPlan>) {
        let Some(record) = record else { return };
        let Ok(value) = serde_json::to_string(record) else { return };
        let write = KvWrite { value, expect_revision: None, lease_id: None };
        if let Err(err) = self.kv.put(&history_key(record.sequence), &write).await {
            log::warn!("admin: cannot write the history record of plan {}: {err}", record.plan_id);
        }
    }

    fn rng(&self) -> MutexGuard<'_, StdRng> {
        lock(&self.rng)
    }

    /// Reads the current document and checks that it contains every change that is active at this daemon. A plan on a
    /// document without some of them would revert accepted changes.
    async fn read_base(&self, context: &PlanContext) -> Result<(u64, Document), AdminError> {
        let (revision, document) = self.read_document().await?;
        if context.active.is_contained_in(&document) {
            return Ok((revision, document));
        }
        Err(AdminError::PlatformBehind(revision, context.active.sequence))
    }

    /// Reads the current revision and document, which are 0 and empty before the first change.
    async fn read_document(&self) -> Result<(u64, Document), AdminError> {
        match self.kv.get(CONFIG_KEY).await? {
            Some(item) => Ok((item.revision, Document::decode(&item.value)?)),
            None => Ok((0, Document::default())),
        }
    }
}

fn history_key(sequence: u64) -> String {
    format!("history/{:03}", sequence % HISTORY_SLOTS)
}

/// Response for a plan that the document already lists as confirmed.
fn already_confirmed(record: &ConfirmedPlan, revision: u64) -> Confirmed {
    Confirmed {
        plan_id: record.plan_id.clone(),
        sequence: record.sequence,
        revision,
        was_confirmed_before: true,
    }
}

/// Error for a plan that was built on another revision than the current one. The error says that the plan was not
/// applied only if `document` would still list the plan after it was applied.
fn stale_error(plan: &Plan, revision: u64, document: &Document) -> AdminError {
    if !plan.would_be_listed_in(document) {
        return AdminError::OutcomeNotRecorded(plan.id.clone());
    }
    let is_later = |record: &&ConfirmedPlan| record.base_revision >= plan.base_revision;
    let changes = document.recent_plans.iter().filter(is_later).cloned().collect();
    AdminError::PlanStale(plan.base_revision, revision, changes)
}
