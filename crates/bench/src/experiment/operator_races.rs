//! Experiment `operator-races`: each confirmed plan is applied exactly once while operators confirm plans concurrently
//! and answers of the platform get lost.

use crate::{
    bench_error::BenchError,
    cluster::{Cluster, Layout},
    experiment::options::ExperimentOptions,
};
use admin::{AdminErrorBody, PlanCreated, PlanRequest};
use base::{AccountName, HashMap};
use fleet::Document;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use stand::PlatformFault;
use std::{net::SocketAddr, path::Path, time::Duration};
use tokio::{sync::watch, task::JoinSet, time::Instant};
use web::{Client, ClientError, Method, Reply};
use wire::platform::KvEntry;

/// Number of concurrent operators, who create and confirm plans.
const OPERATORS: u64 = 8;

/// Most plans of one operator. The limit bounds the size of the configuration document.
const MAX_PLANS: usize = 150;

/// Time between two faults of the platform.
const FAULT_INTERVAL_MS: u64 = 100;

/// Mean number of faults for each one that is an outage; the others are lost answers.
const FAULTS_PER_OUTAGE: u32 = 20;

/// Length of a platform outage. It is longer than a daemon waits for an answer of the platform.
const OUTAGE_MS: u64 = 1_500;

/// Timeout of a request to a daemon or to the platform.
const REPLY_TIMEOUT_MS: u64 = 20_000;

/// Upper bound of an operator's random pause after a plan was created. After a plan request without an answer the pause
/// has exactly this length.
const MAX_PAUSE_MS: u64 = 20;

/// Time within which the outcome of every confirmation must become known.
const RESOLVE_TIMEOUT_MS: u64 = 30_000;

/// Daemons to which an operator sends requests.
#[derive(Clone, Debug)]
pub(super) struct Daemons {
    /// Addresses of the administration servers. A daemon that restarts gets another address.
    pub addrs: watch::Receiver<Vec<SocketAddr>>,
    /// Whether daemons may be killed, so that a request may get no answer.
    pub may_be_killed: bool,
}

impl Daemons {
    /// Returns a client for a random daemon.
    fn choose(&self, rng: &mut SmallRng) -> Client {
        let addrs = self.addrs.borrow();
        let addr = addrs[rng.random_range(0..addrs.len())];
        Client::new(addr, REPLY_TIMEOUT_MS).with_bearer_key(Layout::OPERATOR_KEY)
    }
}

/// Plan of an operator, and what daemons answered to its confirmations.
#[derive(Debug)]
pub(super) struct PlanRecord {
    /// Account that the plan creates.
    account: AccountName,
    /// Revision of the configuration on which the plan is based.
    base_revision: u64,
    /// Whether the plan was applied, as a daemon answered; `None` if no answer told the outcome.
    is_applied: Option<bool>,
    /// Whether the outcome was still unknown after at least one pair of confirmations.
    was_unknown: bool,
}

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let layout = Layout { engines_per_domain: 1, seed: options.seed, ..Layout::default() };
    let cluster = Cluster::start(program, layout).await?;
    let platform = Client::new(cluster.platform_addr()?, REPLY_TIMEOUT_MS);
    let end = Instant::now() + Duration::from_secs(options.duration_s);
    let mut operators = JoinSet::new();
    for number in 0..OPERATORS {
        let rng = SmallRng::seed_from_u64(options.seed * 1_000 + number);
        let (_, addrs) = watch::channel(cluster.admin_addrs()?);
        operators.spawn(run_operator(Daemons { addrs, may_be_killed: false }, number, rng, end));
    }
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let (mut outages, mut lost_answers) = (0, 0);
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(FAULT_INTERVAL_MS)).await;
        if rng.random_range(0..FAULTS_PER_OUTAGE) == 0 {
            cluster.platform().freeze();
            tokio::time::sleep(Duration::from_millis(OUTAGE_MS)).await;
            cluster.platform().thaw();
            outages += 1;
        } else {
            let count: u32 = rng.random_range(1..6);
            cluster.inject_platform_fault(PlatformFault::LoseNextAnswers { writes: count }).await?;
            lost_answers += count;
        }
    }
    cluster.inject_platform_fault(PlatformFault::Restore).await?;
    let mut records = Vec::new();
    for plans in operators.join_all().await {
        records.extend(plans?);
    }
    let entry: KvEntry = platform.send(Method::GET, "/kv/config/current").await?.json()?;
    let document = Document::decode(&entry.value)?;
    let report = PlanReport::of(&records, &document);
    let report_json = json!({
        "plans": records.len(),
        "confirmed": report.confirmed,
        "refused": report.refused,
        "was_unknown": records.iter().filter(|plan| plan.was_unknown).count(),
        "unresolved": report.unresolved,
        "lost": report.lost,
        "both_won": report.both_won,
        "refused_but_applied": report.refused_but_applied,
        "sequence": document.sequence,
        "outages": outages,
        "lost_answers_at_most": lost_answers,
    });
    println!("{report_json}");
    if report.is_success(&document) {
        Ok(())
    } else {
        Err(BenchError::Failed(
            "an answer to an operator contradicts the configuration document".to_owned(),
        ))
    }
}

/// Comparison of the answers that operators got with the configuration document.
#[derive(Debug, Default)]
pub(super) struct PlanReport {
    /// Plans that were reported as applied.
    pub confirmed: u64,
    /// Plans that were reported as not applied.
    pub refused: u64,
    /// Plans whose outcome never became known.
    pub unresolved: u64,
    /// Plans that were reported as applied and are missing in the document.
    pub lost: u64,
    /// Plans beyond the first that were reported as applied for the same base revision.
    pub both_won: u64,
    /// Plans that were reported as not applied and are in the document.
    pub refused_but_applied: u64,
}

impl PlanReport {
    /// Compares the records of all operators with the final document.
    pub fn of(records: &[PlanRecord], document: &Document) -> Self {
        let mut report = Self::default();
        let mut confirmed_by_base: HashMap<u64, u64> = HashMap::default();
        for plan in records {
            let has_account = document.account(&plan.account).is_some();
            match plan.is_applied {
                Some(true) => {
                    report.confirmed += 1;
                    report.lost += u64::from(!has_account);
                    *confirmed_by_base.entry(plan.base_revision).or_default() += 1;
                }
                Some(false) => {
                    report.refused += 1;
                    report.refused_but_applied += u64::from(has_account);
                }
                None => report.unresolved += 1,
            }
        }
        report.both_won = confirmed_by_base.values().map(|count| count - 1).sum();
        report
    }

    /// Returns whether all answers were true. Each plan adds an account, so the sequence number of the document also
    /// shows a plan that was applied twice.
    pub fn is_success(&self, document: &Document) -> bool {
        let violations = self.unresolved + self.lost + self.both_won + self.refused_but_applied;
        violations == 0 && self.confirmed > 0 && document.sequence == self.confirmed
    }
}

/// Creates plans at random daemons until `end`. Sends each confirmation to two random daemons at once, which may be the
/// same one, and retries until the outcome is known or `RESOLVE_TIMEOUT_MS` has passed.
pub(super) async fn run_operator(
    daemons: Daemons,
    number: u64,
    mut rng: SmallRng,
    end: Instant,
) -> Result<Vec<PlanRecord>, BenchError> {
    let mut records = Vec::new();
    while Instant::now() < end && records.len() < MAX_PLANS {
        let account = format!("race-{number}-{}", records.len());
        let texts = vec![format!("create account {account}")];
        let request = PlanRequest { intents: Vec::new(), texts };
        let client = daemons.choose(&mut rng);
        let reply = match client.send_json(Method::POST, "/admin/v1/plans", &request).await {
            Ok(reply) => reply,
            Err(_) if daemons.may_be_killed => {
                tokio::time::sleep(Duration::from_millis(MAX_PAUSE_MS)).await;
                continue;
            }
            Err(err) => return Err(err.into()),
        };
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        if !reply.status.is_success() {
            continue;
        }
        let plan = reply.json::<PlanCreated>()?.plan;
        let path = format!("/admin/v1/plans/{}/confirm", plan.id);
        let mut plan = PlanRecord {
            account: AccountName::try_from(account)?,
            base_revision: plan.base_revision,
            is_applied: None,
            was_unknown: false,
        };
        let deadline = Instant::now() + Duration::from_millis(RESOLVE_TIMEOUT_MS);
        while plan.is_applied.is_none() && Instant::now() < deadline {
            let first = daemons.choose(&mut rng);
            let second = daemons.choose(&mut rng);
            let (first, second) =
                tokio::join!(first.send(Method::POST, &path), second.send(Method::POST, &path));
            plan.is_applied = merge_outcomes(outcome(first)?, outcome(second)?)?;
            plan.was_unknown |= plan.is_applied.is_none();
        }
        records.push(plan);
    }
    Ok(records)
}

/// Returns whether the answer to a confirmation says that the plan was applied (200) or not (404 or 409); `None` if the
/// outcome is unknown, because no answer arrived or the daemon does not know it (503).
fn outcome(reply: Result<Reply, ClientError>) -> Result<Option<bool>, BenchError> {
    let Ok(reply) = reply else { return Ok(None) };
    match reply.status.as_u16() {
        200 => Ok(Some(true)),
        404 | 409 => Ok(Some(false)),
        503 => Ok(None),
        code => Err(BenchError::Failed(format!(
            "a confirmation failed with status {code}: {}",
            reply.json::<AdminErrorBody>()?.error.message
        ))),
    }
}

/// Merges the outcomes that two daemons reported. It is an error if they contradict each other.
fn merge_outcomes(first: Option<bool>, second: Option<bool>) -> Result<Option<bool>, BenchError> {
    match (first, second) {
        (Some(first), Some(second)) if first != second => {
            Err(BenchError::Failed("two daemons reported different outcomes of a plan".to_owned()))
        }
        _ => Ok(first.or(second)),
    }
}
