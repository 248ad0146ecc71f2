//! Experiment `relay`: cost and added delay of a relayed token, next to the same caller directly at the engine.

mod clock_engine;
mod load;

pub(super) use self::{
    clock_engine::ClockEngine,
    load::{Load, Target},
};
use crate::{
    bench_error::BenchError,
    cluster::{Cluster, Layout, Process},
    experiment::options::ExperimentOptions,
    process_usage::ProcessUsage,
};
use serde_json::{Value, json};
use std::{
    path::Path,
    time::{Duration, Instant},
};

/// Load for the delay: 75 streams with 25 ms between tokens are 3,000 tokens/s.
const DELAY_LOAD: Load = Load { streams: 75, gap_ms: 25 };

/// Load for the cost: 600 streams with 5 ms between tokens are 120,000 tokens/s.
const COST_LOAD: Load = Load { streams: 600, gap_ms: 5 };

/// Time in which the daemons learn of the engine and of each other.
const START_MS: u64 = 2_000;

/// Phases that share the length of the load: two loads at three targets.
const PHASES: u64 = 6;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let engine = ClockEngine::start().await?;
    let plain = start(program, options, &engine, false).await?;
    let copying = start(program, options, &engine, true).await?;
    let rest = ProcessUsage::of(daemon(&plain)?.pid())?;
    let phase_s = (options.duration_s / PHASES).max(1);
    let mut report = json!({"resident_at_rest_kb": rest.resident_kb});
    for (name, load) in [("delay", DELAY_LOAD), ("cost", COST_LOAD)] {
        let direct = Target::Engine(engine.addr());
        let relayed = Target::Entry(plain.entry_addr(0));
        let copied = Target::Entry(copying.entry_addr(0));
        let rows = json!({
            "direct": measure(&engine, direct, load, phase_s, daemon(&plain)?).await?,
            "relayed": measure(&engine, relayed, load, phase_s, daemon(&plain)?).await?,
            "copied": measure(&engine, copied, load, phase_s, daemon(&copying)?).await?,
        });
        if !options.is_json {
            for row in ["direct", "relayed", "copied"] {
                println!("{name}: {row} {}", rows[row]);
            }
        }
        report[name] = rows;
    }
    report["added_p50_us"] = added(&report, "relayed", "p50_us");
    report["added_p99_us"] = added(&report, "relayed", "p99_us");
    report["copied_added_p50_us"] = added(&report, "copied", "p50_us");
    report["copied_added_p99_us"] = added(&report, "copied", "p99_us");
    println!("{report}");
    Ok(())
}

/// Starts one daemon, or three that hold journal copies for each other, at `engine`.
async fn start(
    program: &Path,
    options: &ExperimentOptions,
    engine: &ClockEngine,
    has_peers: bool,
) -> Result<Cluster, BenchError> {
    let mut layout =
        Layout { engines_per_domain: 0, has_peers, seed: options.seed, ..Layout::default() };
    if !has_peers {
        layout.domains.truncate(1);
    }
    let mut cluster = Cluster::start(program, layout).await?;
    cluster.add_external_engine("clock", engine.addr())?;
    cluster.publish_vms().await?;
    tokio::time::sleep(Duration::from_millis(START_MS)).await;
    Ok(cluster)
}

fn daemon(cluster: &Cluster) -> Result<&Process, BenchError> {
    cluster.entry(0).ok_or_else(|| BenchError::NotReady("daemon".to_owned()))
}

fn added(report: &Value, row: &str, field: &str) -> Value {
    let delay = &report["delay"];
    let number = |row: &str| delay[row][field].as_i64().unwrap_or(0);
    json!(number(row) - number("direct"))
}

async fn measure(
    engine: &ClockEngine,
    target: Target,
    load: Load,
    phase_s: u64,
    daemon: &Process,
) -> Result<Value, BenchError> {
    let before = ProcessUsage::of(daemon.pid())?;
    let start = Instant::now();
    let outcome = load.run(target, engine.clock(), phase_s).await;
    let elapsed_s = start.elapsed().as_secs_f64();
    let after = ProcessUsage::of(daemon.pid())?;
    let mut delays = outcome.delays_us;
    let tokens = delays.len() as u64;
    let cpu_ms = after.cpu_ms - before.cpu_ms;
    let p50_us = crate::percentile(&mut delays, 50);
    let p99_us = crate::percentile(&mut delays, 99);
    Ok(json!({
        "tokens_per_s": tokens as f64 / elapsed_s,
        "p50_us": p50_us,
        "p99_us": p99_us,
        "daemon_cpu_us_per_token": cpu_ms as f64 * 1_000.0 / tokens.max(1) as f64,
        "daemon_cores": cpu_ms as f64 / 1_000.0 / elapsed_s,
        "daemon_resident_kb": after.resident_kb,
    }))
}
