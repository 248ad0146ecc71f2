//! Plans: changes that an operator reviews before they are applied.

use crate::{
    apply::apply,
    confirmed_plan::{ConfirmedPlan, MAX_RECENT_PLANS},
    diff::diff,
    diff_line::DiffLine,
    document::Document,
    intent_error::IntentError,
    plan_context::PlanContext,
    plan_cost::PlanCost,
    plan_error::PlanError,
    planned_intent::PlannedIntent,
};
use base::{OperatorName, PlanId};
use serde::{Deserialize, Serialize};

/// Time within which a plan can be confirmed after its creation, in milliseconds.
pub const PLAN_LIFETIME_MS: u64 = 15 * 60 * 1_000;

/// Intents of an operator with the changes that they would make. Nothing changes until the plan is confirmed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Identifier of the plan, with a random part.
    pub id: PlanId,
    /// Operator who created the plan.
    pub operator: OperatorName,
    /// Time of the creation in milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// Revision of the document that the plan was built on. It can be applied to this revision only.
    pub base_revision: u64,
    /// `Document::sequence` of the document at `base_revision`.
    pub base_sequence: u64,
    /// Intents, which are applied in this order.
    pub intents: Vec<PlannedIntent>,
    /// Diff between the documents before and after the plan.
    pub lines: Vec<DiffLine>,
    /// Estimated cost of the plan on engines and at the weight store.
    pub cost: PlanCost,
    /// Warnings that the operator should read before the confirmation.
    pub warnings: Vec<String>,
}

impl Plan {
    /// Builds a plan of `intents` on the document that the platform holds at `base_revision`.
    ///
    /// # Errors
    ///
    /// An intent cannot be applied, an intent would remove a version that running generations are pinned to, the
    /// resulting document is not valid, or nothing would change.
    pub fn build(
        id: PlanId,
        operator: OperatorName,
        now_ms: u64,
        base_revision: u64,
        base: &Document,
        intents: Vec<PlannedIntent>,
        context: &PlanContext,
    ) -> Result<Self, IntentError> {
        let after = apply_all(base, &intents, context)?;
        let lines = diff(base, &after)?;
        if lines.is_empty() {
            return Err(IntentError::NoChange);
        }
        Ok(Self {
            id,
            operator,
            created_ms: now_ms,
            base_revision,
            base_sequence: base.sequence,
            intents,
            lines,
            cost: PlanCost::of(base, &after, context),
            warnings: warnings(base, &after, context),
        })
    }

    /// Applies the plan to `document` at `revision`, and returns the new document with the record of the confirmation.
    ///
    /// # Errors
    ///
    /// `Stale` if the document is at another revision, `Expired` if the plan is too old, `Intent` if an intent can no
    /// longer be applied, for example because a running generation is now pinned to a version that the plan removes.
    pub fn confirm(
        &self,
        revision: u64,
        document: &Document,
        now_ms: u64,
        context: &PlanContext,
    ) -> Result<Document, PlanError> {
        if revision != self.base_revision {
            return Err(PlanError::Stale(self.base_revision, revision));
        }
        if self.is_expired(now_ms) {
            return Err(PlanError::Expired);
        }
        let mut after = apply_all(document, &self.intents, context)?;
        after.sequence = document.sequence.saturating_add(1);
        let record = ConfirmedPlan {
            plan_id: self.id.clone(),
            operator: self.operator.clone(),
            confirmed_ms: now_ms,
            base_revision: self.base_revision,
            sequence: after.sequence,
            lines: self.lines.clone(),
            omitted_lines: 0,
        };
        after.recent_plans.push(record.shortened());
        let surplus = after.recent_plans.len().saturating_sub(MAX_RECENT_PLANS);
        after.recent_plans.drain(..surplus);
        Ok(after)
    }

    /// Returns whether the plan can no longer be confirmed at `now_ms`, in milliseconds since the Unix epoch.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms > self.created_ms.saturating_add(PLAN_LIFETIME_MS)
    }

    /// Returns whether `document` would still list this plan as confirmed if the plan had been applied. After too many
    /// later plans the record of this plan may have been dropped, so that a missing record proves nothing.
    pub fn would_be_listed_in(&self, document: &Document) -> bool {
        document.sequence <= self.base_sequence.saturating_add(MAX_RECENT_PLANS as u64)
    }
}

/// Applies the intents in order to a copy of `base`, and checks that the result is valid and not too large.
fn apply_all(
    base: &Document,
    intents: &[PlannedIntent],
    context: &PlanContext,
) -> Result<Document, IntentError> {
    let mut after = base.clone();
    for planned in intents {
        apply(&mut after, &planned.intent, planned.key_hash.as_ref(), context)?;
    }
    after.check()?;
    after.encode()?;
    Ok(after)
}

/// Returns the warnings for the operator about the change from `before` to `after`: lost access, removed versions and
/// missing engines.
fn warnings(before: &Document, after: &Document, context: &PlanContext) -> Vec<String> {
    let mut warnings = Vec::new();
    for account in &before.accounts {
        match after.account(&account.name) {
            None => warnings.push(format!("client account {} loses access", account.name)),
            Some(new) if new.key_hashes.is_empty() => {
                warnings.push(format!("client account {} has no key left", account.name));
            }
            Some(_) => {}
        }
    }
    for model in &before.models {
        let versions = std::iter::once(&model.version).chain(&model.older_versions);
        let new = after.model(&model.name);
        for version in versions.filter(|version| !new.is_some_and(|new| new.has_version(version))) {
            warnings.push(format!(
                "version {version} of model {} goes; generations at other daemons are not checked",
                model.name
            ));
        }
    }
    for model in &after.models {
        let engines = context.engines.get(&model.service).copied().unwrap_or(0);
        if engines == 0 {
            warnings.push(format!("no engine of service {} is known", model.service));
        }
        let wanted: u64 = model.roles.iter().map(|count| u64::from(count.engines)).sum();
        if wanted > u64::from(engines) {
            warnings.push(format!("model {} wants {wanted} engines, {engines} exist", model.name));
        }
    }
    if after.operators.is_empty() && !before.operators.is_empty() {
        warnings.push("no operator is left, only the bootstrap key".to_owned());
    }
    warnings
}
