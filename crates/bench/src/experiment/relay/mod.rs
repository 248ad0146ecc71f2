//! Experiment `relay`: cost and added delay of a relayed token, next to the same caller directly at the engine.

mod clock_engine;
mod load;

use self::{
    clock_engine::ClockEngine,
    load::{Load, Outcome, Target},
};
use crate::{
    bench_error::BenchError,
    cluster::{Cluster, Layout, Process},
    experiment::options::ExperimentOptions,
    process_usage::ProcessUsage,
};
use serde_json::{Value, json};
use std::{path::Path, time::Instant};

/// Load for the delay: 75 streams with 25 ms between tokens are 3,000 tokens/s.
const DELAY_LOAD: Load = Load { streams: 75, gap_ms: 25 };

/// Load for the cost: 600 streams with 5 ms between tokens are 120,000 tokens/s.
const COST_LOAD: Load = Load { streams: 600, gap_ms: 5 };

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let layout = Layout {
        domains: vec!["lothian".to_owned()],
        engines_per_domain: 0,
        seed: options.seed,
        ..Layout::default()
    };
    let engine = ClockEngine::start().await?;
    let mut cluster = Cluster::start(program, layout).await?;
    cluster.add_external_engine("clock", engine.addr())?;
    cluster.publish_vms().await?;
    // The daemon reads the list of VMs every 200 ms.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    let daemon = cluster.entry(0).ok_or_else(|| BenchError::NotReady("daemon".to_owned()))?;
    let rest = ProcessUsage::of(daemon.pid())?;
    let entry = Target::Entry(cluster.entry_addrs()[0]);
    let direct = Target::Engine(engine.addr());
    let phase_s = (options.duration_s / 4).max(1);
    let mut rows = Vec::new();
    for (name, load) in [("delay", DELAY_LOAD), ("cost", COST_LOAD)] {
        let straight = measure(&engine, direct, load, phase_s, daemon).await?;
        let relayed = measure(&engine, entry, load, phase_s, daemon).await?;
        rows.push((name, straight, relayed));
    }
    let mut report = json!({"resident_at_rest_kb": rest.resident_kb});
    for (name, straight, relayed) in rows {
        if !options.is_json {
            println!("{name}: direct {straight}");
            println!("{name}: relayed {relayed}");
        }
        report[name] = json!({"direct": straight, "relayed": relayed});
    }
    report["added_p50_us"] = added(&report, "p50_us");
    report["added_p99_us"] = added(&report, "p99_us");
    println!("{report}");
    Ok(())
}

fn added(report: &Value, field: &str) -> Value {
    let delay = &report["delay"];
    let number = |path: &str| delay[path][field].as_i64().unwrap_or(0);
    json!(number("relayed") - number("direct"))
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
    let outcome: Outcome = load.run(target, engine.clock(), phase_s).await;
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
