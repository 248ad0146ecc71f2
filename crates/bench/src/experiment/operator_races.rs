//! Experiment `operator-races`: each confirmed plan is applied exactly once while operators race and answers get lost.

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

/// Operators at a time.
const OPERATORS: u64 = 8;

/// Most plans of one operator. It bounds the size of the document.
const PLANS: usize = 150;

/// Time between two faults of the platform.
const FAULT_INTERVAL_MS: u64 = 100;

/// One fault in this many is an outage; the others are lost answers.
const OUTAGE_IN: u32 = 20;

/// Length of an outage, longer than a daemon waits for an answer.
const OUTAGE_MS: u64 = 1_500;

/// Longest wait for an answer of a daemon.
const WAIT_MS: u64 = 20_000;

/// Longest pause of an operator.
const PAUSE_MS: u64 = 20;

/// Time within which every unknown outcome must be resolved.
const RESOLVE_MS: u64 = 30_000;

/// Daemons that operators use.
#[derive(Clone, Debug)]
pub(super) struct Daemons {
    /// Addresses of the administration servers; a daemon that restarts has another one.
    pub addrs: watch::Receiver<Vec<SocketAddr>>,
    /// Whether daemons may die, so that a plan may get no answer.
    pub may_die: bool,
}

impl Daemons {
    fn choose(&self, rng: &mut SmallRng) -> Client {
        let addrs = self.addrs.borrow();
        let addr = addrs[rng.random_range(0..addrs.len())];
        Client::new(addr, WAIT_MS).with_bearer_key(Layout::OPERATOR_KEY)
    }
}

/// Plan with what its operator was told.
#[derive(Debug)]
pub(super) struct Told {
    account: AccountName,
    base_revision: u64,
    is_applied: Option<bool>,
    was_unknown: bool,
}

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let layout = Layout { engines_per_domain: 1, seed: options.seed, ..Layout::default() };
    let cluster = Cluster::start(program, layout).await?;
    let platform = Client::new(cluster.platform_addr()?, WAIT_MS);
    let end = Instant::now() + Duration::from_secs(options.duration_s);
    let mut operators = JoinSet::new();
    for number in 0..OPERATORS {
        let rng = SmallRng::seed_from_u64(options.seed * 1_000 + number);
        let (_, addrs) = watch::channel(cluster.admin_addrs()?);
        operators.spawn(operate(Daemons { addrs, may_die: false }, number, rng, end));
    }
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let (mut outages, mut lost_answers) = (0, 0);
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(FAULT_INTERVAL_MS)).await;
        if rng.random_range(0..OUTAGE_IN) == 0 {
            cluster.platform().freeze();
            tokio::time::sleep(Duration::from_millis(OUTAGE_MS)).await;
            cluster.platform().thaw();
            outages += 1;
        } else {
            let count: u32 = rng.random_range(1..6);
            cluster.platform_fault(PlatformFault::LoseNextAnswers { writes: count }).await?;
            lost_answers += count;
        }
    }
    cluster.platform_fault(PlatformFault::Restore).await?;
    let mut told = Vec::new();
    for plans in operators.join_all().await {
        told.extend(plans?);
    }
    let entry: KvEntry = platform.send(Method::GET, "/kv/config/current").await?.json()?;
    let document = Document::decode(&entry.value)?;
    let report = Report::of(&told, &document);
    let report_json = json!({
        "plans": told.len(),
        "confirmed": report.confirmed,
        "refused": report.refused,
        "was_unknown": told.iter().filter(|plan| plan.was_unknown).count(),
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
        Err(BenchError::Failed("an operator was told something that is not true".to_owned()))
    }
}

/// Comparison of what operators were told with the document.
#[derive(Debug, Default)]
pub(super) struct Report {
    pub confirmed: u64,
    pub refused: u64,
    pub unresolved: u64,
    pub lost: u64,
    pub both_won: u64,
    pub refused_but_applied: u64,
}

impl Report {
    pub fn of(told: &[Told], document: &Document) -> Self {
        let mut report = Self::default();
        let mut winners: HashMap<u64, u64> = HashMap::default();
        for plan in told {
            let is_there = document.account(&plan.account).is_some();
            match plan.is_applied {
                Some(true) => {
                    report.confirmed += 1;
                    report.lost += u64::from(!is_there);
                    *winners.entry(plan.base_revision).or_default() += 1;
                }
                Some(false) => {
                    report.refused += 1;
                    report.refused_but_applied += u64::from(is_there);
                }
                None => report.unresolved += 1,
            }
        }
        report.both_won = winners.values().map(|count| count - 1).sum();
        report
    }

    /// Each plan adds an account, so the number of changes also shows a plan that was applied twice.
    pub fn is_success(&self, document: &Document) -> bool {
        let broken = self.unresolved + self.lost + self.both_won + self.refused_but_applied;
        broken == 0 && self.confirmed > 0 && document.sequence == self.confirmed
    }
}

/// Plans and confirms until `end`, each time at some daemon; now and then the confirmation is sent to two at once.
pub(super) async fn operate(
    daemons: Daemons,
    number: u64,
    mut rng: SmallRng,
    end: Instant,
) -> Result<Vec<Told>, BenchError> {
    let mut told = Vec::new();
    while Instant::now() < end && told.len() < PLANS {
        let account = format!("race-{number}-{}", told.len());
        let texts = vec![format!("create account {account}")];
        let request = PlanRequest { intents: Vec::new(), texts };
        let client = daemons.choose(&mut rng);
        let reply = match client.send_json(Method::POST, "/admin/v1/plans", &request).await {
            Ok(reply) => reply,
            Err(_) if daemons.may_die => {
                tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
                continue;
            }
            Err(err) => return Err(err.into()),
        };
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
        if !reply.status.is_success() {
            continue;
        }
        let plan = reply.json::<PlanCreated>()?.plan;
        let path = format!("/admin/v1/plans/{}/confirm", plan.id);
        let mut plan = Told {
            account: AccountName::try_from(account)?,
            base_revision: plan.base_revision,
            is_applied: None,
            was_unknown: false,
        };
        let deadline = Instant::now() + Duration::from_millis(RESOLVE_MS);
        while plan.is_applied.is_none() && Instant::now() < deadline {
            let first = daemons.choose(&mut rng);
            let second = daemons.choose(&mut rng);
            let (first, second) =
                tokio::join!(first.send(Method::POST, &path), second.send(Method::POST, &path));
            plan.is_applied = agreed(outcome(first)?, outcome(second)?)?;
            plan.was_unknown |= plan.is_applied.is_none();
        }
        told.push(plan);
    }
    Ok(told)
}

/// Whether a plan was applied; `None` if that is unknown.
fn outcome(reply: Result<Reply, ClientError>) -> Result<Option<bool>, BenchError> {
    let Ok(reply) = reply else { return Ok(None) };
    match reply.status.as_u16() {
        200 => Ok(Some(true)),
        404 | 409 => Ok(Some(false)),
        503 => Ok(None),
        code => Err(BenchError::Failed(format!(
            "status {code}: {}",
            reply.json::<AdminErrorBody>()?.error.message
        ))),
    }
}

/// Joins the answers of two daemons, which must not contradict each other.
fn agreed(first: Option<bool>, second: Option<bool>) -> Result<Option<bool>, BenchError> {
    match (first, second) {
        (Some(first), Some(second)) if first != second => {
            Err(BenchError::Failed("two daemons answered differently".to_owned()))
        }
        _ => Ok(first.or(second)),
    }
}
