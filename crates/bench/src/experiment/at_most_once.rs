//! Experiment `at-most-once`: no call runs twice, and none that was reported as not run has run.

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

/// Time in which every entry reads the list of VMs.
const LIST_WAIT_MS: u64 = 500;

/// Callers at a time.
const CALLERS: u64 = 24;

/// Times that a caller sends the same key.
const SENDS: u32 = 4;

/// Pause of a caller before it sends the same key again.
const RESEND_PAUSE_MS: u64 = 100;

/// Time between two faults.
const FAULT_INTERVAL_MS: u64 = 150;

/// Length of an outage of the platform. It is longer than all platform calls of one claim, so that claims fail.
const OUTAGE_MS: u64 = 5_000;

/// Faults after which an outage begins, and then each time again.
const FAULTS_PER_OUTAGE: u32 = 60;

/// Faults before the first outage.
const FAULTS_BEFORE_OUTAGE: u32 = 10;

/// Time after the load in which late runs can still happen.
const SETTLE_MS: u64 = 4_000;

/// Faults of plain services.
const FAULTS: [ServiceFaultKind; 7] = [
    ServiceFaultKind::RunLate,
    ServiceFaultKind::AnswerLate,
    ServiceFaultKind::CloseBeforeRun,
    ServiceFaultKind::CloseAfterRun,
    ServiceFaultKind::DieBeforeRun,
    ServiceFaultKind::DieAfterRun,
    ServiceFaultKind::Crossed,
];

/// What one send of a call led to.
#[derive(Debug)]
pub(super) struct Sent {
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
    // Entries that started before the list was complete read it again within this time.
    tokio::time::sleep(Duration::from_millis(LIST_WAIT_MS)).await;
    let end = Instant::now() + Duration::from_secs(options.duration_s);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let rng = SmallRng::seed_from_u64(options.seed * 1_000 + number);
        callers.spawn(call_until(cluster.entry_addrs(), number, rng, end));
    }
    let faults = inject(&mut cluster, SmallRng::seed_from_u64(options.seed), end).await?;
    let sent: Vec<Sent> = callers.join_all().await.into_iter().flatten().collect();
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let runs = cluster.runs()?;
    let CallBreaks { double_runs, not_run_but_ran, wrong_answers } = CallBreaks::of(&sent, &runs);
    let count = |wanted: &CallOutcome| sent.iter().filter(|sent| sent.outcome == *wanted).count();
    let refused =
        sent.iter().filter(|sent| matches!(sent.outcome, CallOutcome::Refused(..))).count();
    let answered =
        sent.iter().filter(|sent| matches!(sent.outcome, CallOutcome::Answer(..))).count();
    let report = json!({
        "calls": sent.len(),
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
    let broken = double_runs + not_run_but_ran + wrong_answers;
    if broken == 0 && faults > 0 && answered > 0 {
        Ok(())
    } else {
        Err(BenchError::Failed(format!("{broken} calls of {} broke a guarantee", sent.len())))
    }
}

/// Calls that broke a guarantee.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallBreaks {
    pub double_runs: usize,
    pub not_run_but_ran: usize,
    pub wrong_answers: usize,
}

impl CallBreaks {
    /// Compares what callers were told with the runs.
    pub fn of(sent: &[Sent], runs: &RunReport) -> Self {
        let doubles =
            |counts: &BTreeMap<String, u64>| counts.values().filter(|&&count| count > 1).count();
        let not_run = sent.iter().filter(|sent| sent.outcome == CallOutcome::NotRun);
        Self {
            double_runs: doubles(&runs.by_key) + doubles(&runs.by_request_id),
            not_run_but_ran: not_run
                .filter(|sent| runs.by_request_id.contains_key(&sent.request_id))
                .count(),
            wrong_answers: sent.iter().filter(|sent| !is_own(sent)).count(),
        }
    }
}

/// Whether an answer belongs to the call: to its key, or to its request id if it had none.
fn is_own(sent: &Sent) -> bool {
    let CallOutcome::Answer(_, body) = &sent.outcome else { return true };
    let Ok(run) = serde_json::from_slice::<Run>(body) else { return false };
    run.service == sent.service
        && match &sent.key {
            Some(key) => run.key == *key,
            None => run.request_id == sent.request_id,
        }
}

pub(super) async fn call_until(
    addrs: Vec<SocketAddr>,
    number: u64,
    mut rng: SmallRng,
    end: Instant,
) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut calls = 0;
    while Instant::now() < end {
        calls += 1;
        let service = if rng.random_bool(0.5) { "belfry-desk" } else { "print-desk" };
        let key = rng.random_bool(0.8).then(|| format!("{number}-{calls}"));
        // Without a key a repeat would be a new call.
        let sends = if key.is_some() { SENDS } else { 1 };
        for attempt in 0..sends {
            let call = ServiceCall {
                bearer_key: Layout::KEY.to_owned(),
                method: "POST".to_owned(),
                path: format!("/services/{service}/orders"),
                idempotency_key: key.clone(),
                request_id: format!("{number}-{calls}-{attempt}"),
                body: "{}".to_owned(),
            };
            let twin =
                ServiceCall { request_id: format!("{}-twin", call.request_id), ..call.clone() };
            let addr = addrs[rng.random_range(0..addrs.len())];
            let twin_addr = addrs[rng.random_range(0..addrs.len())];
            let mut is_answered = false;
            // Some calls are sent to two entries at once, as an impatient caller does.
            if key.is_some() && rng.random_bool(0.2) {
                let (first, second) = tokio::join!(call.send(addr), twin.send(twin_addr));
                is_answered |= record(&mut sent, service, call, first);
                is_answered |= record(&mut sent, service, twin, second);
            } else {
                let outcome = call.send(addr).await;
                is_answered |= record(&mut sent, service, call, outcome);
            }
            // An answered call is sent once more now and then, to read the stored answer.
            if is_answered && !rng.random_bool(0.2) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(RESEND_PAUSE_MS)).await;
        }
    }
    sent
}

/// Records what a send led to; whether it was answered.
fn record(sent: &mut Vec<Sent>, service: &str, call: ServiceCall, outcome: CallOutcome) -> bool {
    let is_answered = matches!(outcome, CallOutcome::Answer(..));
    let ServiceCall { idempotency_key: key, request_id, .. } = call;
    sent.push(Sent { service: service.to_owned(), key, request_id, outcome });
    is_answered
}

/// Injects faults until `end`; their number.
async fn inject(cluster: &mut Cluster, mut rng: SmallRng, end: Instant) -> Result<u32, BenchError> {
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
                let kind = FAULTS[rng.random_range(0..FAULTS.len())];
                let wait_ms = rng.random_range(100..4_000);
                let fault = ServiceFault { kind, count: rng.random_range(1..4), wait_ms };
                // An instance that died by the fault before is started again.
                if cluster.service_fault(position, fault).await.is_err() {
                    cluster.restart_service(position, false)?;
                }
            }
        }
    }
    cluster.platform().thaw();
    Ok(faults)
}
