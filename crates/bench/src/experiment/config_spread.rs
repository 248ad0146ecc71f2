//! Experiment `config-spread`: time until a configuration change is active at all daemons.

use crate::{
    bench_error::BenchError,
    cluster::{Cluster, Layout},
    experiment::{metrics::Metrics, options::ExperimentOptions},
    percentile::percentile,
};
use plat::Platform;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};
use tokio::{sync::watch, task::JoinSet, time::Instant};
use wire::platform::{KvWrite, VmState};

/// Number of failure domains, number of daemons in each, and time in milliseconds within which a change must be active
/// at all of them.
const SIZES: [(usize, usize, u64); 2] = [(3, 7, 2_000), (7, 15, 6_000)];

/// Client accounts planned two years ahead, besides the one of the layout.
const EXTRA_ACCOUNTS: usize = 450;

/// Models planned two years ahead, besides the one of the layout.
const EXTRA_MODELS: usize = 12;

/// Time between two configuration changes.
const CHANGE_INTERVAL_MS: u64 = 1_000;

/// Time between two reads of a daemon's metrics, which bounds the error of the measured times.
const POLL_INTERVAL_MS: u64 = 25;

/// Time within which every daemon has fetched its first configuration document after the start. The bytes per second
/// without changes are measured after it, so that they do not include these transfers.
const SETTLE_MS: u64 = 10_000;

/// Number of changes of a VM's state in the platform's list.
const VM_STATE_CHANGES: usize = 6;

/// Time within which a change of a VM's state must reach every daemon, including the lag of the platform's list.
const MAX_LEAVING_MS: u64 = 3_000;

/// Timeout of a platform call.
const PLATFORM_TIMEOUT_MS: u64 = 2_000;

/// Most bytes per second of control messages that each daemon may send and receive, in sum, at `CHANGES_PER_DAY`.
const MAX_BYTES_PER_S: f64 = 13_000.0;

/// Configuration changes per day that are planned two years ahead.
const CHANGES_PER_DAY: f64 = 3_700.0;

/// Revisions in the order of their writes, each with the start time of its write.
type WrittenRevisions = Arc<watch::Sender<Vec<(u64, Instant)>>>;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let mut rows = Vec::new();
    let mut failures = Vec::new();
    for (domains, entries, limit_ms) in SIZES {
        let row = measure(program, options, domains, entries).await?;
        eprintln!("{row}");
        let number = |key: &str| row[key].as_f64().unwrap_or(f64::MAX);
        if number("max_ms") > limit_ms as f64
            || number("reverts") > 0.0
            || number("leaving_max_ms") > MAX_LEAVING_MS as f64
            || number("not_in_force") > 0.0
            || number("bytes_per_s_at_3700_a_day") > MAX_BYTES_PER_S
        {
            failures.push(format!("{} daemons: {row}", domains * entries));
        }
        rows.push(row);
    }
    println!("{}", json!({ "sizes": rows }));
    if failures.is_empty() { Ok(()) } else { Err(BenchError::Failed(failures.join("; "))) }
}

/// Measures a new cluster of `domains` with `entries` daemons in each, and returns a row of the report.
async fn measure(
    program: &Path,
    options: &ExperimentOptions,
    domains: usize,
    entries: usize,
) -> Result<Value, BenchError> {
    let layout = Layout {
        domains: (0..domains).map(|number| format!("domain-{number}")).collect(),
        entries_per_domain: entries,
        engines_per_domain: 0,
        worker_threads: 1,
        vm_list_interval_ms: 1_000,
        extra_accounts: EXTRA_ACCOUNTS,
        extra_models: EXTRA_MODELS,
        seed: options.seed,
        ..Layout::default()
    };
    let mut document = layout.document()?;
    let document_bytes = document.encode()?.len();
    let cluster = Cluster::start(program, layout).await?;
    let platform = Platform::new(cluster.platform_addr()?, PLATFORM_TIMEOUT_MS);
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let idle_bytes = peer_bytes(&cluster).await?;
    let idle_start = Instant::now();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let idle_bytes_per_s =
        (peer_bytes(&cluster).await? - idle_bytes) / idle_start.elapsed().as_secs_f64();
    let written_revisions: WrittenRevisions = Arc::new(watch::Sender::new(Vec::new()));
    let (stop, _) = watch::channel(false);
    let mut pollers = JoinSet::new();
    for addr in cluster.entry_addrs() {
        pollers.spawn(poll_revisions(addr, Arc::clone(&written_revisions), stop.subscribe()));
    }
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let (before, calls_before) = (peer_bytes(&cluster).await?, cluster.platform_counts().await?);
    let start = Instant::now();
    let mut changes = 0.0;
    while start.elapsed() < Duration::from_secs(options.duration_s) {
        let account = rng.random_range(1..document.accounts.len());
        document.accounts[account].requests_per_s += 1;
        let write = KvWrite { value: document.encode()?, expect_revision: None, lease_id: None };
        let write_start = Instant::now();
        let revision = platform.put("config/current", &write).await;
        let revision = revision.map_err(|err| BenchError::Failed(err.to_string()))?;
        written_revisions.send_modify(|revisions| revisions.push((revision, write_start)));
        changes += 1.0;
        tokio::time::sleep(Duration::from_millis(CHANGE_INTERVAL_MS)).await;
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    let (after, calls_after) = (peer_bytes(&cluster).await?, cluster.platform_counts().await?);
    let calls = calls_after.vms + calls_after.watches + calls_after.gets
        - calls_before.vms
        - calls_before.watches
        - calls_before.gets;
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.send_replace(true);
    let outcomes = pollers.join_all().await;
    let mut leaving = Vec::new();
    for round in 0..VM_STATE_CHANGES {
        let state = if round % 2 == 0 { VmState::Leaving } else { VmState::Live };
        leaving.push(change_vm_state(&cluster, state).await?);
    }
    let reverts: u64 = outcomes.iter().map(|(_, reverts)| reverts).sum();
    let expected = written_revisions.borrow().len() * outcomes.len();
    let mut times: Vec<u64> = outcomes.into_iter().flat_map(|(times, _)| times).collect();
    let daemons = cluster.entry_count() as f64;
    let bytes_per_change = ((after - before) - idle_bytes_per_s * elapsed_s) / changes / daemons;
    let changes_per_s = CHANGES_PER_DAY / 86_400.0;
    Ok(json!({
        "daemons": cluster.entry_count(),
        "document_bytes": document_bytes,
        "changes": changes,
        "p50_ms": percentile(&mut times, 50),
        "p99_ms": percentile(&mut times, 99),
        "max_ms": times.last().copied().unwrap_or(u64::MAX),
        "reverts": reverts,
        "leaving_max_ms": percentile(&mut leaving, 100),
        "not_in_force": expected - times.len(),
        "quiet_bytes_per_s": idle_bytes_per_s / daemons,
        "bytes_per_change": bytes_per_change,
        "bytes_per_s_at_3700_a_day": idle_bytes_per_s / daemons + bytes_per_change * changes_per_s,
        "platform_calls_per_s": calls as f64 / elapsed_s,
    }))
}

/// Returns the bytes of control messages that all daemons have sent and received.
async fn peer_bytes(cluster: &Cluster) -> Result<f64, BenchError> {
    let mut sum = 0.0;
    for addr in cluster.entry_addrs() {
        let metrics = Metrics::read(addr).await?;
        sum += metrics.value("peer_sent_bytes_total") + metrics.value("peer_received_bytes_total");
    }
    Ok(sum)
}

/// Changes the state of a VM and returns the time in milliseconds until all daemons have a newer list, or `u64::MAX` if
/// this takes longer than twice `MAX_LEAVING_MS`. Daemons are polled one after another, so the measured time may be too
/// long, but never too short.
async fn change_vm_state(cluster: &Cluster, state: VmState) -> Result<u64, BenchError> {
    let mut before = Vec::new();
    for addr in cluster.entry_addrs() {
        before.push((addr, Metrics::read(addr).await?.value("vm_list_version")));
    }
    let start = Instant::now();
    cluster.set_vm_state(cluster.entry_id(0), Some(state)).await?;
    for (addr, version) in before {
        while Metrics::read(addr).await?.value("vm_list_version") <= version {
            if start.elapsed() > Duration::from_millis(2 * MAX_LEAVING_MS) {
                return Ok(u64::MAX);
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
    Ok(start.elapsed().as_millis() as u64)
}

/// Polls the active revision of a daemon until `stop` is true. Returns, for each change that became active at the
/// daemon, the time in milliseconds since the start of its write, and the number of times that the revision decreased.
async fn poll_revisions(
    addr: SocketAddr,
    written_revisions: WrittenRevisions,
    stop: watch::Receiver<bool>,
) -> (Vec<u64>, u64) {
    let (mut times, mut reverts, mut revision_seen, mut next) = (Vec::new(), 0, 0.0, 0);
    while !*stop.borrow() {
        if let Ok(metrics) = Metrics::read(addr).await {
            let revision = metrics.value("config_revision");
            reverts += u64::from(revision < revision_seen);
            revision_seen = revision;
        }
        let revisions = written_revisions.borrow().clone();
        while next < revisions.len() && revisions[next].0 as f64 <= revision_seen {
            times.push(revisions[next].1.elapsed().as_millis() as u64);
            next += 1;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    (times, reverts)
}
