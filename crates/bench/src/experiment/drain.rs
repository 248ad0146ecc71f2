//! Experiment `drain`: upstreams that are leaving get no new requests, and a graceful shutdown of an entry (a daemon
//! that serves callers) cuts off no request.

use crate::{
    bench_error::BenchError,
    caller::{CallOutcome, ServiceCall},
    cluster::{Cluster, Layout},
    experiment::options::ExperimentOptions,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use stand::{ServiceFault, ServiceFaultKind};
use std::{net::SocketAddr, path::Path, time::Duration};
use tokio::{task::JoinSet, time::Instant};

/// Time within which every entry reads the list of VMs again.
const VM_LIST_WAIT_MS: u64 = 500;

/// Number of concurrent callers.
const CALLERS: usize = 24;

/// Pause of a caller between two calls.
const CALL_PAUSE_MS: u64 = 10;

/// Time for which an instance is leaving before it is replaced. It is longer than the 3 s after which the instance
/// counts a request as late (`LATE_REQUEST_AFTER_MS` in `stand`).
const LEAVING_MS: u64 = 4_500;

/// Delay of answers of instances, so that requests are in flight when an entry shuts down.
const ANSWER_DELAY_MS: u64 = 300;

/// Number of answers that are delayed at each instance before each shutdown.
const DELAYED_ANSWERS: u32 = 40;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let layout = Layout {
        engines_per_domain: 0,
        services: vec!["belfry-desk".to_owned()],
        service_instances: 4,
        seed: options.seed,
        ..Layout::default()
    };
    let mut cluster = Cluster::start(program, layout).await?;
    let mut rng = SmallRng::seed_from_u64(options.seed);
    // Entries that started before the list of VMs was complete read it again within `VM_LIST_WAIT_MS`.
    tokio::time::sleep(Duration::from_millis(VM_LIST_WAIT_MS)).await;
    let end = Instant::now() + Duration::from_secs(options.duration_s);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(call_until(cluster.entry_addrs(), number, end));
    }
    let (mut departures, mut shutdowns) = (0, 0);
    while Instant::now() < end {
        let leaving = rng.random_range(0..cluster.service_count());
        cluster.mark_service_leaving(leaving, rng.random_bool(0.5)).await?;
        departures += 1;
        for position in 0..cluster.service_count() {
            let kind = ServiceFaultKind::AnswerLate;
            let fault = ServiceFault { kind, count: DELAYED_ANSWERS, wait_ms: ANSWER_DELAY_MS };
            cluster.inject_service_fault(position, fault).await?;
        }
        let position = rng.random_range(0..cluster.entry_addrs().len());
        if let Some(process) = cluster.terminate_entry(position) {
            // A blocking wait on this thread would stop the callers that run on the same thread.
            let ended = tokio::task::spawn_blocking(|| process.wait()).await;
            if !matches!(ended, Ok(Ok(true))) {
                return Err(BenchError::Failed(
                    "an entry did not shut down with exit code 0".to_owned(),
                ));
            }
            shutdowns += 1;
        }
        cluster.restart_entry(position)?;
        tokio::time::sleep(Duration::from_millis(LEAVING_MS)).await;
        cluster.restart_service(leaving, true)?;
        cluster.publish_vms().await?;
    }
    let outcomes: Vec<CallOutcome> = callers.join_all().await.into_iter().flatten().collect();
    let count = |wanted: &CallOutcome| outcomes.iter().filter(|&got| got == wanted).count();
    let cut_off = count(&CallOutcome::CutOff);
    let late_requests = cluster.runs()?.late;
    let report = json!({
        "calls": outcomes.len(),
        "departures": departures,
        "shutdowns": shutdowns,
        "late_requests": late_requests,
        "cut_off": cut_off,
        "turned_away": count(&CallOutcome::NotConnected),
        "not_run": count(&CallOutcome::NotRun),
        "unknown": count(&CallOutcome::Unknown),
    });
    println!("{report}");
    if late_requests == 0 && cut_off == 0 && departures > 0 && shutdowns > 0 {
        Ok(())
    } else {
        Err(BenchError::Failed(format!(
            "{late_requests} requests arrived late, {cut_off} were cut off"
        )))
    }
}

/// Sends one call after another to the entries in turn until `end`, and returns their outcomes.
async fn call_until(addrs: Vec<SocketAddr>, number: usize, end: Instant) -> Vec<CallOutcome> {
    let mut outcomes = Vec::new();
    while Instant::now() < end {
        let call = ServiceCall {
            bearer_key: Layout::KEY.to_owned(),
            method: "POST".to_owned(),
            path: "/services/belfry-desk/bookings".to_owned(),
            idempotency_key: None,
            request_id: format!("{number}-{}", outcomes.len()),
            body: "{}".to_owned(),
        };
        outcomes.push(call.send(addrs[(number + outcomes.len()) % addrs.len()]).await);
        tokio::time::sleep(Duration::from_millis(CALL_PAUSE_MS)).await;
    }
    outcomes
}
