//! Experiment `relay`: processor time and added delay of a token that a daemon relays, compared with the same streams
//! opened directly at the engine.

mod load;
mod timestamp_engine;

pub(super) use self::{
    load::{StreamLoad, Target},
    timestamp_engine::TimestampEngine,
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

/// Load for the delay measurement: 75 streams with 25 ms between tokens are 3,000 tokens/s.
const DELAY_LOAD: StreamLoad = StreamLoad { streams: 75, gap_ms: 25 };

/// Load for the measurement of processor time: 600 streams with 5 ms between tokens are 120,000 tokens/s.
const COST_LOAD: StreamLoad = StreamLoad { streams: 600, gap_ms: 5 };

/// Time within which the daemons discover the engine and each other.
const WARM_UP_MS: u64 = 2_000;

/// Phases into which the duration of the experiment is divided: two loads at three targets, which are the engine, a
/// daemon without peers and a daemon that replicates its journals.
const PHASES: u64 = 6;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let engine = TimestampEngine::start().await?;
    let single = start_daemons(program, options, &engine, false).await?;
    let replicated = start_daemons(program, options, &engine, true).await?;
    let idle_usage = ProcessUsage::of(daemon(&single)?.pid())?;
    let phase_s = (options.duration_s / PHASES).max(1);
    let mut report = json!({"resident_at_rest_kb": idle_usage.resident_kb});
    for (name, load) in [("delay", DELAY_LOAD), ("cost", COST_LOAD)] {
        let direct = Target::Engine(engine.addr());
        let relayed = Target::Entry(single.entry_addr(0));
        let copied = Target::Entry(replicated.entry_addr(0));
        let rows = json!({
            "direct": measure(&engine, direct, load, phase_s, daemon(&single)?).await?,
            "relayed": measure(&engine, relayed, load, phase_s, daemon(&single)?).await?,
            "copied": measure(&engine, copied, load, phase_s, daemon(&replicated)?).await?,
        });
        if !options.is_json {
            for row in ["direct", "relayed", "copied"] {
                println!("{name}: {row} {}", rows[row]);
            }
        }
        report[name] = rows;
    }
    report["added_p50_us"] = added_delay(&report, "relayed", "p50_us");
    report["added_p99_us"] = added_delay(&report, "relayed", "p99_us");
    report["copied_added_p50_us"] = added_delay(&report, "copied", "p50_us");
    report["copied_added_p99_us"] = added_delay(&report, "copied", "p99_us");
    println!("{report}");
    Ok(())
}

/// Starts a cluster whose only engine is `engine`: one daemon, or three that replicate journals to each other if
/// `has_peers`.
async fn start_daemons(
    program: &Path,
    options: &ExperimentOptions,
    engine: &TimestampEngine,
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
    tokio::time::sleep(Duration::from_millis(WARM_UP_MS)).await;
    Ok(cluster)
}

/// Returns the process of the first daemon.
fn daemon(cluster: &Cluster) -> Result<&Process, BenchError> {
    cluster.entry(0).ok_or_else(|| BenchError::NotReady("daemon".to_owned()))
}

/// Returns by how many microseconds a delay in a row of the report exceeds that in the row `direct`.
fn added_delay(report: &Value, row: &str, field: &str) -> Value {
    let delay = &report["delay"];
    let number = |row: &str| delay[row][field].as_i64().unwrap_or(0);
    json!(number(row) - number("direct"))
}

/// Runs a load at a target for `phase_s`. Returns the delays of its tokens and the resources that `daemon` used in that
/// time.
async fn measure(
    engine: &TimestampEngine,
    target: Target,
    load: StreamLoad,
    phase_s: u64,
    daemon: &Process,
) -> Result<Value, BenchError> {
    let before = ProcessUsage::of(daemon.pid())?;
    let start = Instant::now();
    let outcome = load.run(target, engine.epoch(), phase_s).await;
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
