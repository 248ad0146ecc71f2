//! Experiment `at-most-once`: no call is executed twice, and none that was reported as not run was executed.

use crate::{
    bench_error::BenchError,
    caller::{CallOutcome, ServiceCall},
    cluster::{Cluster, Layout},
    experiment::options::ExperimentOptions,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use stand::{Run, RunReport, ServiceFault, ServiceFaultKind};
use std::{collections::BTreeMap, net::SocketAddr, path::Path, time::Duration};
use tokio::{task::JoinSet, time::Instant};

/// Time within which every entry (a daemon that serves callers) reads the list of VMs again.
const VM_LIST_WAIT_MS: u64 = 500;

/// Number of concurrent callers.
const CALLERS: u64 = 24;

/// Most times that a caller sends the same idempotency key.
const SENDS_PER_KEY: u32 = 4;

/// Pause of a caller before it sends the same idempotency key again.
const RESEND_PAUSE_MS: u64 = 100;

/// Time between two faults.
const FAULT_INTERVAL_MS: u64 = 150;

/// Length of a platform outage. It is longer than all platform calls of one claim together, so that claims fail.
const OUTAGE_MS: u64 = 5_000;

/// Number of faults from the start of one outage to the start of the next.
const FAULTS_PER_OUTAGE: u32 = 60;

/// Number of faults before the first outage.
const FAULTS_BEFORE_OUTAGE: u32 = 10;

/// Time within which instances can still execute delayed requests after the end of the load.
const SETTLE_MS: u64 = 4_000;

/// Faults that are injected into plain services.
const SERVICE_FAULTS: [ServiceFaultKind; 7] = [
    ServiceFaultKind::RunLate,
    ServiceFaultKind::AnswerLate,
    ServiceFaultKind::CloseBeforeRun,
    ServiceFaultKind::CloseAfterRun,
    ServiceFaultKind::DieBeforeRun,
    ServiceFaultKind::DieAfterRun,
    ServiceFaultKind::Crossed,
];

/// Request of a caller with its outcome. A call that is sent several times has several records.
#[derive(Debug)]
pub(super) struct CallRecord {
    service: String,
    key: Option<String>,
    request_id: String,
    pub outcome: CallOutcome,
}

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let layout = Layout {
        engines_per_domain: 0,
        services: ["belfry-desk", "print-desk"].map(str::to_owned).to_vec(),
        service_instances: 3,
        seed: options.seed,
        ..Layout::default()
    };
    let mut cluster = Cluster::start(program, layout).await?;
    // Entries that started before the list of VMs was complete read it again within `VM_LIST_WAIT_MS`.
    tokio::time::sleep(Duration::from_millis(VM_LIST_WAIT_MS)).await;
    let end = Instant::now() + Duration::from_secs(options.duration_s);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let rng = SmallRng::seed_from_u64(options.seed * 1_000 + number);
        callers.spawn(call_until(cluster.entry_addrs(), number, rng, end));
    }
    let faults = inject_faults(&mut cluster, SmallRng::seed_from_u64(options.seed), end).await?;
    let records: Vec<CallRecord> = callers.join_all().await.into_iter().flatten().collect();
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let runs = cluster.runs()?;
    let GuaranteeViolations { double_runs, not_run_but_ran, wrong_answers } =
        GuaranteeViolations::of(&records, &runs);
    let count =
        |wanted: &CallOutcome| records.iter().filter(|record| record.outcome == *wanted).count();
    let refused =
        records.iter().filter(|record| matches!(record.outcome, CallOutcome::Refused(..))).count();
    let answered =
        records.iter().filter(|record| matches!(record.outcome, CallOutcome::Answer(..))).count();
    let report = json!({
        "calls": records.len(),
        "runs": runs.total,
        "answered": answered,
        "double_runs": double_runs,
        "not_run": count(&CallOutcome::NotRun),
        "not_run_but_ran": not_run_but_ran,
        "unknown": count(&CallOutcome::Unknown),
        "cut_off": count(&CallOutcome::CutOff),
        "refused": refused,
        "wrong_answers": wrong_answers,
        "faults": faults,
    });
    println!("{report}");
    let violations = double_runs + not_run_but_ran + wrong_answers;
    if violations == 0 && faults > 0 && answered > 0 {
        Ok(())
    } else {
        Err(BenchError::Failed(format!(
            "{violations} calls of {} broke a guarantee",
            records.len()
        )))
    }
}

/// Numbers of calls that broke a guarantee, by guarantee.
#[derive(Clone, Copy, Debug)]
pub(super) struct GuaranteeViolations {
    /// Idempotency keys and request IDs with more than one execution.
    pub double_runs: usize,
    /// Calls that were reported as not run and were executed.
    pub not_run_but_ran: usize,
    /// Answers that belong to another call.
    pub wrong_answers: usize,
}

impl GuaranteeViolations {
    /// Compares the outcomes that callers saw with the executions at the upstreams.
    pub fn of(records: &[CallRecord], runs: &RunReport) -> Self {
        let count_repeated =
            |counts: &BTreeMap<String, u64>| counts.values().filter(|&&count| count > 1).count();
        let not_run = records.iter().filter(|record| record.outcome == CallOutcome::NotRun);
        Self {
            double_runs: count_repeated(&runs.by_key) + count_repeated(&runs.by_request_id),
            not_run_but_ran: not_run
                .filter(|record| runs.by_request_id.contains_key(&record.request_id))
                .count(),
            wrong_answers: records.iter().filter(|record| !is_own_answer(record)).count(),
        }
    }
}

/// Returns whether the answer of a call is its own: it carries the idempotency key of the call or, without a key, its
/// request ID. Outcomes without an answer count as own.
fn is_own_answer(record: &CallRecord) -> bool {
    let CallOutcome::Answer(_, body) = &record.outcome else { return true };
    let Ok(run) = serde_json::from_slice::<Run>(body) else { return false };
    run.service == record.service
        && match &record.key {
            Some(key) => run.key == *key,
            None => run.request_id == record.request_id,
        }
}

/// Sends calls with random services and keys to random entries until `end`, and returns a record of each request.
/// `number` is the number of the caller, which makes its keys and request IDs unique.
pub(super) async fn call_until(
    addrs: Vec<SocketAddr>,
    number: u64,
    mut rng: SmallRng,
    end: Instant,
) -> Vec<CallRecord> {
    let mut records = Vec::new();
    let mut calls = 0;
    while Instant::now() < end {
        calls += 1;
        let service = if rng.random_bool(0.5) { "belfry-desk" } else { "print-desk" };
        let key = rng.random_bool(0.8).then(|| format!("{number}-{calls}"));
        // A call without an idempotency key is sent only once, since a retry would be a new call.
        let sends = if key.is_some() { SENDS_PER_KEY } else { 1 };
        for attempt in 0..sends {
            let call = ServiceCall {
                bearer_key: Layout::KEY.to_owned(),
                method: "POST".to_owned(),
                path: format!("/services/{service}/orders"),
                idempotency_key: key.clone(),
                request_id: format!("{number}-{calls}-{attempt}"),
                body: "{}".to_owned(),
            };
            let duplicate =
                ServiceCall { request_id: format!("{}-twin", call.request_id), ..call.clone() };
            let addr = addrs[rng.random_range(0..addrs.len())];
            let duplicate_addr = addrs[rng.random_range(0..addrs.len())];
            let mut is_answered = false;
            // Some calls are sent to two entries at once, as by a caller that retries before its first request has
            // timed out.
            if key.is_some() && rng.random_bool(0.2) {
                let (first, second) = tokio::join!(call.send(addr), duplicate.send(duplicate_addr));
                is_answered |= push_record(&mut records, service, call, first);
                is_answered |= push_record(&mut records, service, duplicate, second);
            } else {
                let outcome = call.send(addr).await;
                is_answered |= push_record(&mut records, service, call, outcome);
            }
            // One answered call in five is sent again, to read the stored answer.
            if is_answered && !rng.random_bool(0.2) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(RESEND_PAUSE_MS)).await;
        }
    }
    records
}

/// Appends a call and its outcome to `records`. Returns whether an upstream answered the call.
fn push_record(
    records: &mut Vec<CallRecord>,
    service: &str,
    call: ServiceCall,
    outcome: CallOutcome,
) -> bool {
    let is_answered = matches!(outcome, CallOutcome::Answer(..));
    let ServiceCall { idempotency_key: key, request_id, .. } = call;
    records.push(CallRecord { service: service.to_owned(), key, request_id, outcome });
    is_answered
}

/// Injects faults until `end` and returns their number.
async fn inject_faults(
    cluster: &mut Cluster,
    mut rng: SmallRng,
    end: Instant,
) -> Result<u32, BenchError> {
    let mut faults = 0;
    let mut outage_end = None;
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(FAULT_INTERVAL_MS)).await;
        faults += 1;
        if faults % FAULTS_PER_OUTAGE == FAULTS_BEFORE_OUTAGE {
            cluster.platform().freeze();
            outage_end = Some(Instant::now() + Duration::from_millis(OUTAGE_MS));
        }
        if outage_end.is_some_and(|outage_end| Instant::now() > outage_end) {
            cluster.platform().thaw();
            outage_end = None;
        }
        match rng.random_range(0..20) {
            0..=2 => {
                let position = rng.random_range(0..cluster.entry_addrs().len());
                cluster.kill_entry(position);
                cluster.restart_entry(position)?;
            }
            _ => {
                let position = rng.random_range(0..cluster.service_count());
                let kind = SERVICE_FAULTS[rng.random_range(0..SERVICE_FAULTS.len())];
                let wait_ms = rng.random_range(100..4_000);
                let fault = ServiceFault { kind, count: rng.random_range(1..4), wait_ms };
                // An instance does not answer after an earlier fault has ended its process.
                if cluster.inject_service_fault(position, fault).await.is_err() {
                    cluster.restart_service(position, false)?;
                }
            }
        }
    }
    cluster.platform().thaw();
    Ok(faults)
}
