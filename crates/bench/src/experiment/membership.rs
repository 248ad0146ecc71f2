//! Experiment `membership`: cost of the membership protocol, detection time of a lost daemon, and false suspicions.

use crate::{
    bench_error::BenchError,
    cluster::{Cluster, Layout},
    experiment::{metrics::Metrics, options::ExperimentOptions},
    process_usage::ProcessUsage,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use std::{path::Path, time::Duration};
use tokio::time::Instant;

/// Cluster sizes in daemons.
const DAEMON_COUNTS: [usize; 4] = [10, 50, 100, 200];

/// Number of daemons planned two years ahead, to which the measurements are extrapolated.
const PLANNED_DAEMONS: f64 = 370.0;

/// Number of failure domains planned two years ahead; small clusters have fewer.
const MAX_DOMAINS: usize = 7;

/// Time within which all daemons must see each other as live.
const JOIN_TIMEOUT_MS: u64 = 60_000;

/// Time within which all other daemons must remove a killed daemon.
const DETECTION_TIMEOUT_MS: u64 = 30_000;

/// Time between two reads of a daemon's metrics.
const POLL_INTERVAL_MS: u64 = 50;

/// Time within which the cluster settles after the join of the last daemon, before it is measured.
const SETTLE_MS: u64 = 3_000;

/// Most bytes per second of control messages that each daemon may send and receive, in sum, at `PLANNED_DAEMONS`.
const MAX_BYTES_PER_S: f64 = 13_000.0;

/// Most resident memory that a daemon may use at `PLANNED_DAEMONS`.
const MAX_RESIDENT_KB: f64 = 32_768.0;

/// Most processor time that a daemon without requests may use at `PLANNED_DAEMONS`, in percent of a core.
const MAX_CPU_PCT: f64 = 1.8;

/// Most platform calls per second in each failure domain: two readers that each read the list once per second, and
/// headroom for watches and for changes of the readers. The limit does not depend on the number of daemons.
const MAX_CALLS_PER_DOMAIN: f64 = 3.0;

/// Measurements at one cluster size. Processor time, memory and bytes are means over the daemons.
struct SizeResult {
    daemons: f64,
    cpu_pct: f64,
    resident_kb: f64,
    bytes_per_s: f64,
    /// Platform calls per second, divided by the number of failure domains.
    calls_per_domain: f64,
    /// Row of the report for this size.
    row: Value,
}

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let mut results = Vec::new();
    for size in DAEMON_COUNTS {
        results.push(measure(program, options, size).await?);
        eprintln!("{}", results[results.len() - 1].row);
    }
    let cpu = fit_line(&results, |result| result.cpu_pct);
    let memory = fit_line(&results, |result| result.resident_kb);
    let bytes = fit_line(&results, |result| result.bytes_per_s);
    let at_planned_size = |(start, slope): (f64, f64)| start + slope * PLANNED_DAEMONS;
    let rows: Vec<&Value> = results.iter().map(|result| &result.row).collect();
    println!(
        "{}",
        json!({
            "sizes": rows,
            "slope_cpu_pct": cpu.1, "cpu_pct_at_370": at_planned_size(cpu),
            "slope_resident_kb": memory.1, "resident_kb_at_370": at_planned_size(memory),
            "slope_bytes_per_s": bytes.1, "bytes_per_s_at_370": at_planned_size(bytes),
        })
    );
    let calls = results.iter().map(|result| result.calls_per_domain).fold(0.0, f64::max);
    let checks = [
        ("platform calls a second for each failure domain", calls, MAX_CALLS_PER_DOMAIN),
        ("bytes a second at 370 daemons", at_planned_size(bytes), MAX_BYTES_PER_S),
        ("resident KB at 370 daemons", at_planned_size(memory), MAX_RESIDENT_KB),
        ("percent of a core at 370 daemons", at_planned_size(cpu), MAX_CPU_PCT),
    ];
    match checks.iter().find(|(_, value, limit)| value > limit) {
        Some((what, value, limit)) => {
            Err(BenchError::Failed(format!("{value:.1} {what}, at most {limit} allowed")))
        }
        None => Ok(()),
    }
}

/// Measures a new cluster of `size` daemons and then kills one of them.
async fn measure(
    program: &Path,
    options: &ExperimentOptions,
    size: usize,
) -> Result<SizeResult, BenchError> {
    let domain_count = MAX_DOMAINS.min(size / 5);
    let domains: Vec<String> = (0..domain_count).map(|n| format!("domain-{n}")).collect();
    let layout = Layout {
        entries_per_domain: size / domains.len(),
        domains,
        engines_per_domain: 0,
        worker_threads: 1,
        vm_list_interval_ms: 1_000,
        seed: options.seed,
        ..Layout::default()
    };
    let mut cluster = Cluster::start(program, layout).await?;
    let daemons = cluster.entry_count();
    wait_live(&cluster, None, daemons - 1, JOIN_TIMEOUT_MS).await?;
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let (before, calls_before) = (read_totals(&cluster).await?, cluster.platform_counts().await?);
    let start = Instant::now();
    tokio::time::sleep(Duration::from_secs(options.duration_s)).await;
    let elapsed_s = start.elapsed().as_secs_f64();
    let (after, calls_after) = (read_totals(&cluster).await?, cluster.platform_counts().await?);
    let calls = calls_after.vms + calls_after.watches - calls_before.vms - calls_before.watches;
    let calls_per_s = calls as f64 / elapsed_s;
    let daemon_seconds = daemons as f64 * elapsed_s;
    let cpu_pct = (after.cpu_ms - before.cpu_ms) / daemon_seconds / 10.0;
    let bytes_per_s = (after.bytes - before.bytes) / daemon_seconds;
    let resident_kb = after.resident_kb / daemons as f64;
    let victim = SmallRng::seed_from_u64(options.seed).random_range(0..daemons);
    cluster.kill_entry(victim);
    let detection_ms = wait_live(&cluster, Some(victim), daemons - 2, DETECTION_TIMEOUT_MS).await?;
    let row = json!({
        "daemons": daemons,
        "cpu_pct": cpu_pct,
        "resident_kb": resident_kb,
        "bytes_per_s": bytes_per_s,
        "detection_ms": detection_ms,
        "false_suspicions": after.suspicions / daemons as f64,
        "false_removals": after.removals,
        "platform_calls_per_s": calls_per_s,
    });
    let calls_per_domain = calls_per_s / domain_count as f64;
    Ok(SizeResult {
        daemons: daemons as f64,
        cpu_pct,
        resident_kb,
        bytes_per_s,
        calls_per_domain,
        row,
    })
}

/// Resource usage and counters, summed over all running daemons.
#[derive(Default)]
struct Totals {
    cpu_ms: f64,
    resident_kb: f64,
    bytes: f64,
    suspicions: f64,
    removals: f64,
}

/// Reads usage and counters of all running daemons.
async fn read_totals(cluster: &Cluster) -> Result<Totals, BenchError> {
    let mut totals = Totals::default();
    for position in 0..cluster.entry_count() {
        let Some(process) = cluster.entry(position) else { continue };
        let usage = ProcessUsage::of(process.pid())?;
        let metrics = Metrics::read(cluster.entry_addr(position)).await?;
        totals.cpu_ms += usage.cpu_ms as f64;
        totals.resident_kb += usage.resident_kb as f64;
        totals.bytes += metrics.value("peer_sent_bytes_total");
        totals.bytes += metrics.value("peer_received_bytes_total");
        totals.suspicions += metrics.value("member_suspicions_total");
        totals.removals += metrics.value("member_removals_total");
    }
    Ok(totals)
}

/// Waits until all daemons except the `killed` one see `live` others as live, and returns the waiting time in
/// milliseconds. Daemons are polled one after another, so the measured time may be too long, but never too short.
///
/// # Errors
///
/// The wait takes longer than `timeout_ms`, or the metrics of a daemon could not be read.
async fn wait_live(
    cluster: &Cluster,
    killed: Option<usize>,
    live: usize,
    timeout_ms: u64,
) -> Result<u64, BenchError> {
    let start = Instant::now();
    for position in (0..cluster.entry_count()).filter(|&position| Some(position) != killed) {
        loop {
            let metrics = Metrics::read(cluster.entry_addr(position)).await?;
            if metrics.value("member_live") as usize == live {
                break;
            }
            if start.elapsed() > Duration::from_millis(timeout_ms) {
                let seen = metrics.value("member_live");
                let what = format!("a daemon counts {seen} live members instead of {live}");
                return Err(BenchError::Failed(what));
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
    Ok(start.elapsed().as_millis() as u64)
}

/// Returns intercept and slope of the least-squares line through `value` over the number of daemons.
fn fit_line(results: &[SizeResult], value: impl Fn(&SizeResult) -> f64) -> (f64, f64) {
    let count = results.len() as f64;
    let mean_x = results.iter().map(|result| result.daemons).sum::<f64>() / count;
    let mean_y = results.iter().map(&value).sum::<f64>() / count;
    let products =
        results.iter().map(|result| (result.daemons - mean_x) * (value(result) - mean_y));
    let squares = results.iter().map(|result| (result.daemons - mean_x).powi(2));
    let slope = products.sum::<f64>() / squares.sum::<f64>();
    (mean_y - slope * mean_x, slope)
}
