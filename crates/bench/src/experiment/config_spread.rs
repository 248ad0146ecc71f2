//! Experiment `config-spread`: time until a configuration change is in force everywhere.

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

/// Failure domains and daemons in each, with the time within which a change must be in force.
const SIZES: [(usize, usize, u64); 2] = [(3, 7, 2_000), (7, 15, 6_000)];

/// Client accounts of the two-year size.
const ACCOUNTS: usize = 450;

/// Models of the two-year size.
const MODELS: usize = 12;

/// Time between two changes.
const CHANGE_INTERVAL_MS: u64 = 1_000;

/// Pause between two looks at a daemon's revision, which bounds the error of the figures.
const LOOK_PAUSE_MS: u64 = 25;

/// Time after the start until no daemon fetches its first document any more, so that the quiet rate is one.
const SETTLE_MS: u64 = 10_000;

/// Changes of a VM's state in the platform's list.
const LEAVING_ROUNDS: usize = 6;

/// Time within which such a change must have reached every daemon, the lag of the list included.
const LEAVING_MS: u64 = 3_000;

/// Longest wait for a call of the platform.
const PLATFORM_WAIT_MS: u64 = 2_000;

/// Most bytes a second of control messages for each daemon, sent and received.
const BYTES_PER_S: f64 = 13_000.0;

/// Configuration changes a day at the two-year size.
const CHANGES_PER_DAY: f64 = 3_700.0;

/// Newest revision with the time of its write.
type Newest = Arc<watch::Sender<Vec<(u64, Instant)>>>;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let mut rows = Vec::new();
    let mut failures = Vec::new();
    for (domains, entries, limit_ms) in SIZES {
        let row = measure(program, options, domains, entries).await?;
        eprintln!("{row}");
        let number = |key: &str| row[key].as_f64().unwrap_or(f64::MAX);
        if number("max_ms") > limit_ms as f64
            || number("reverts") > 0.0
            || number("leaving_max_ms") > LEAVING_MS as f64
            || number("not_in_force") > 0.0
            || number("bytes_per_s_at_3700_a_day") > BYTES_PER_S
        {
            failures.push(format!("{} daemons: {row}", domains * entries));
        }
        rows.push(row);
    }
    println!("{}", json!({ "sizes": rows }));
    if failures.is_empty() { Ok(()) } else { Err(BenchError::Failed(failures.join("; "))) }
}

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
        extra_accounts: ACCOUNTS,
        extra_models: MODELS,
        seed: options.seed,
        ..Layout::default()
    };
    let mut document = layout.document()?;
    let document_bytes = document.encode()?.len();
    let cluster = Cluster::start(program, layout).await?;
    let platform = Platform::new(cluster.platform_addr()?, PLATFORM_WAIT_MS);
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let quiet = bytes(&cluster).await?;
    let quiet_start = Instant::now();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let quiet_bytes_per_s = (bytes(&cluster).await? - quiet) / quiet_start.elapsed().as_secs_f64();
    let newest: Newest = Arc::new(watch::Sender::new(Vec::new()));
    let (stop, _) = watch::channel(false);
    let mut looks = JoinSet::new();
    for addr in cluster.entry_addrs() {
        looks.spawn(look(addr, Arc::clone(&newest), stop.subscribe()));
    }
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let (before, counts) = (bytes(&cluster).await?, cluster.platform_counts().await?);
    let start = Instant::now();
    let mut changes = 0.0;
    while start.elapsed() < Duration::from_secs(options.duration_s) {
        let account = rng.random_range(1..document.accounts.len());
        document.accounts[account].requests_per_s += 1;
        let write = KvWrite { value: document.encode()?, expect_revision: None, lease_id: None };
        let written = Instant::now();
        let revision = platform.put("config/current", &write).await;
        let revision = revision.map_err(|err| BenchError::Failed(err.to_string()))?;
        newest.send_modify(|list| list.push((revision, written)));
        changes += 1.0;
        tokio::time::sleep(Duration::from_millis(CHANGE_INTERVAL_MS)).await;
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    let (after, later) = (bytes(&cluster).await?, cluster.platform_counts().await?);
    let calls = later.vms + later.watches + later.gets - counts.vms - counts.watches - counts.gets;
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.send_replace(true);
    let outcomes = looks.join_all().await;
    let mut leaving = Vec::new();
    for round in 0..LEAVING_ROUNDS {
        let state = if round % 2 == 0 { VmState::Leaving } else { VmState::Live };
        leaving.push(leave(&cluster, state).await?);
    }
    let reverts: u64 = outcomes.iter().map(|(_, reverts)| reverts).sum();
    let expected = newest.borrow().len() * outcomes.len();
    let mut times: Vec<u64> = outcomes.into_iter().flat_map(|(times, _)| times).collect();
    let daemons = cluster.entry_count() as f64;
    let bytes_per_change = ((after - before) - quiet_bytes_per_s * elapsed_s) / changes / daemons;
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
        "quiet_bytes_per_s": quiet_bytes_per_s / daemons,
        "bytes_per_change": bytes_per_change,
        "bytes_per_s_at_3700_a_day": quiet_bytes_per_s / daemons + bytes_per_change * changes_per_s,
        "platform_calls_per_s": calls as f64 / elapsed_s,
    }))
}

/// Bytes of control messages of all daemons up to now.
async fn bytes(cluster: &Cluster) -> Result<f64, BenchError> {
    let mut sum = 0.0;
    for addr in cluster.entry_addrs() {
        let metrics = Metrics::read(addr).await?;
        sum += metrics.value("peer_sent_bytes_total") + metrics.value("peer_received_bytes_total");
    }
    Ok(sum)
}

/// Changes the state of a VM; the time until all daemons have a newer list. The looks go one after another, which can
/// only lengthen it.
async fn leave(cluster: &Cluster, state: VmState) -> Result<u64, BenchError> {
    let mut before = Vec::new();
    for addr in cluster.entry_addrs() {
        before.push((addr, Metrics::read(addr).await?.value("vm_list_version")));
    }
    let start = Instant::now();
    cluster.set_vm_state(cluster.entry_id(0), Some(state)).await?;
    for (addr, version) in before {
        while Metrics::read(addr).await?.value("vm_list_version") <= version {
            if start.elapsed() > Duration::from_millis(2 * LEAVING_MS) {
                return Ok(u64::MAX);
            }
            tokio::time::sleep(Duration::from_millis(LOOK_PAUSE_MS)).await;
        }
    }
    Ok(start.elapsed().as_millis() as u64)
}

/// Follows the revision of a daemon; the time until each change was in force there, and the steps back.
async fn look(addr: SocketAddr, newest: Newest, stop: watch::Receiver<bool>) -> (Vec<u64>, u64) {
    let (mut times, mut reverts, mut held, mut next) = (Vec::new(), 0, 0.0, 0);
    while !*stop.borrow() {
        if let Ok(metrics) = Metrics::read(addr).await {
            let revision = metrics.value("config_revision");
            reverts += u64::from(revision < held);
            held = revision;
        }
        let list = newest.borrow().clone();
        while next < list.len() && list[next].0 as f64 <= held {
            times.push(list[next].1.elapsed().as_millis() as u64);
            next += 1;
        }
        tokio::time::sleep(Duration::from_millis(LOOK_PAUSE_MS)).await;
    }
    (times, reverts)
}
