//! Experiment `membership`: cost of the membership, detection of a lost daemon, false suspicions.

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

/// Numbers of daemons.
const SIZES: [usize; 4] = [10, 50, 100, 200];

/// Number of daemons of the two-year size.
const FULL_SIZE: f64 = 370.0;

/// Failure domains of the two-year size.
const DOMAINS: usize = 7;

/// Longest wait until all daemons know each other.
const JOIN_WAIT_MS: u64 = 60_000;

/// Longest wait until a killed daemon is removed everywhere.
const DETECTION_WAIT_MS: u64 = 30_000;

/// Pause between two looks at the metrics.
const LOOK_PAUSE_MS: u64 = 50;

/// Time for which daemons that have just joined settle before they are measured.
const SETTLE_MS: u64 = 3_000;

/// Most bytes a second of control messages for each daemon, sent and received.
const BYTES_PER_S: f64 = 13_000.0;

/// Most resident memory of each daemon.
const RESIDENT_KB: f64 = 32_768.0;

/// Largest share of a core for control at each daemon.
const CPU_PCT: f64 = 1.8;

/// Most platform calls a second for each failure domain: two readers with one read of the list a second each, and room
/// for watches and for readers that change. It does not depend on the number of daemons.
const CALLS_PER_DOMAIN: f64 = 3.0;

/// Figures of one size.
struct Point {
    daemons: f64,
    cpu_pct: f64,
    resident_kb: f64,
    bytes_per_s: f64,
    calls_per_domain: f64,
    row: Value,
}

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let mut points = Vec::new();
    for size in SIZES {
        points.push(measure(program, options, size).await?);
        eprintln!("{}", points[points.len() - 1].row);
    }
    let cpu = line(&points, |point| point.cpu_pct);
    let memory = line(&points, |point| point.resident_kb);
    let bytes = line(&points, |point| point.bytes_per_s);
    let at_full = |(start, slope): (f64, f64)| start + slope * FULL_SIZE;
    let rows: Vec<&Value> = points.iter().map(|point| &point.row).collect();
    println!(
        "{}",
        json!({
            "sizes": rows,
            "slope_cpu_pct": cpu.1, "cpu_pct_at_370": at_full(cpu),
            "slope_resident_kb": memory.1, "resident_kb_at_370": at_full(memory),
            "slope_bytes_per_s": bytes.1, "bytes_per_s_at_370": at_full(bytes),
        })
    );
    let calls = points.iter().map(|point| point.calls_per_domain).fold(0.0, f64::max);
    let checks = [
        ("platform calls a second for each failure domain", calls, CALLS_PER_DOMAIN),
        ("bytes a second at 370 daemons", at_full(bytes), BYTES_PER_S),
        ("resident KB at 370 daemons", at_full(memory), RESIDENT_KB),
        ("percent of a core at 370 daemons", at_full(cpu), CPU_PCT),
    ];
    match checks.iter().find(|(_, value, limit)| value > limit) {
        Some((what, value, limit)) => {
            Err(BenchError::Failed(format!("{value:.1} {what}, at most {limit} allowed")))
        }
        None => Ok(()),
    }
}

async fn measure(
    program: &Path,
    options: &ExperimentOptions,
    size: usize,
) -> Result<Point, BenchError> {
    let domain_count = DOMAINS.min(size / 5);
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
    wait_live(&cluster, None, daemons - 1, JOIN_WAIT_MS).await?;
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let (before, counts) = (totals(&cluster).await?, cluster.platform_counts().await?);
    let start = Instant::now();
    tokio::time::sleep(Duration::from_secs(options.duration_s)).await;
    let elapsed_s = start.elapsed().as_secs_f64();
    let (after, later) = (totals(&cluster).await?, cluster.platform_counts().await?);
    let calls = later.vms + later.watches - counts.vms - counts.watches;
    let calls_per_s = calls as f64 / elapsed_s;
    let share = daemons as f64 * elapsed_s;
    let cpu_pct = (after.cpu_ms - before.cpu_ms) / share / 10.0;
    let bytes_per_s = (after.bytes - before.bytes) / share;
    let resident_kb = after.resident_kb / daemons as f64;
    let victim = SmallRng::seed_from_u64(options.seed).random_range(0..daemons);
    cluster.kill_entry(victim);
    let detection_ms = wait_live(&cluster, Some(victim), daemons - 2, DETECTION_WAIT_MS).await?;
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
    Ok(Point { daemons: daemons as f64, cpu_pct, resident_kb, bytes_per_s, calls_per_domain, row })
}

/// Sums over all daemons.
#[derive(Default)]
struct Totals {
    cpu_ms: f64,
    resident_kb: f64,
    bytes: f64,
    suspicions: f64,
    removals: f64,
}

async fn totals(cluster: &Cluster) -> Result<Totals, BenchError> {
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

/// Waits until all running daemons count `live` others as live; the time that it took.
async fn wait_live(
    cluster: &Cluster,
    killed: Option<usize>,
    live: usize,
    wait_ms: u64,
) -> Result<u64, BenchError> {
    let start = Instant::now();
    for position in (0..cluster.entry_count()).filter(|&position| Some(position) != killed) {
        loop {
            let metrics = Metrics::read(cluster.entry_addr(position)).await?;
            if metrics.value("member_live") as usize == live {
                break;
            }
            if start.elapsed() > Duration::from_millis(wait_ms) {
                let seen = metrics.value("member_live");
                let what = format!("a daemon counts {seen} live ones instead of {live}");
                return Err(BenchError::Failed(what));
            }
            tokio::time::sleep(Duration::from_millis(LOOK_PAUSE_MS)).await;
        }
    }
    Ok(start.elapsed().as_millis() as u64)
}

/// Start and slope of the line with the least squares.
fn line(points: &[Point], value: impl Fn(&Point) -> f64) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.daemons).sum::<f64>() / count;
    let mean_y = points.iter().map(&value).sum::<f64>() / count;
    let products = points.iter().map(|point| (point.daemons - mean_x) * (value(point) - mean_y));
    let squares = points.iter().map(|point| (point.daemons - mean_x).powi(2));
    let slope = products.sum::<f64>() / squares.sum::<f64>();
    (mean_y - slope * mean_x, slope)
}
