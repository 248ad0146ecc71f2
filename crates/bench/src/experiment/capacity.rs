//! Experiment `capacity`: cost of a daemon by streams, client accounts and VMs, at three or more sizes each.

use crate::{
    bench_error::BenchError,
    cluster::{Cluster, Layout},
    experiment::{
        options::ExperimentOptions,
        relay::{ClockEngine, Load, Target},
    },
    process_usage::ProcessUsage,
};
use serde_json::{Value, json};
use std::{path::Path, time::Duration};

/// Time between the tokens of a stream.
const GAP_MS: u64 = 41;

/// Streams at a time.
const STREAMS: [usize; 3] = [100, 400, 1_600];

/// Client accounts in the configuration.
const ACCOUNTS: [usize; 3] = [50, 150, 450];

/// Engines in the list of VMs. Without any, nothing is polled, which gives the cost of the polls.
const ENGINES: [usize; 4] = [0, 75, 250, 750];

/// Time in which daemons learn of the engines and of each other.
const START_MS: u64 = 3_000;

/// Phases that share the length of the load.
const PHASES: u64 = 10;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let phase_s = (options.duration_s / PHASES).max(2);
    let engine = ClockEngine::start().await?;
    let mut streams = Vec::new();
    for count in STREAMS {
        let cluster = start(program, options, &engine, 0, 1).await?;
        let before = usage(&cluster)?;
        let load = Load { streams: count, gap_ms: GAP_MS };
        let target = Target::Entry(cluster.entry_addr(0));
        let outcome = load.run(target, engine.clock(), phase_s).await;
        let tokens = outcome.delays_us.len() as f64;
        let after = usage(&cluster)?;
        let cpu_us = |index: usize| (after[index].cpu_ms - before[index].cpu_ms) as f64 * 1_000.0;
        let others_cpu_us: f64 = (1..after.len()).map(cpu_us).sum();
        let others_kb = after[1..].iter().map(|usage| usage.resident_kb).max();
        streams.push(json!({
            "streams": count,
            "tokens": tokens,
            "entry_cpu_us_per_token": cpu_us(0) / tokens.max(1.0),
            "holders_cpu_us_per_token": others_cpu_us / tokens.max(1.0),
            "entry_resident_kb": after[0].resident_kb,
            "holder_resident_kb": others_kb,
        }));
    }
    let mut accounts = Vec::new();
    for count in ACCOUNTS {
        let cluster = start(program, options, &engine, count, 1).await?;
        accounts.push(at_rest("accounts", count, &cluster, phase_s).await?);
    }
    let mut engines = Vec::new();
    for count in ENGINES {
        let cluster = start(program, options, &engine, 0, count).await?;
        engines.push(at_rest("engines", count, &cluster, phase_s).await?);
    }
    println!("{}", json!({"streams": streams, "accounts": accounts, "engines": engines}));
    Ok(())
}

/// Starts three daemons that hold journal copies for each other. All engines of the list are `engine`.
async fn start(
    program: &Path,
    options: &ExperimentOptions,
    engine: &ClockEngine,
    accounts: usize,
    engines: usize,
) -> Result<Cluster, BenchError> {
    let layout = Layout {
        engines_per_domain: 0,
        extra_accounts: accounts,
        seed: options.seed,
        ..Layout::default()
    };
    let mut cluster = Cluster::start(program, layout).await?;
    for number in 0..engines {
        cluster.add_external_engine(&format!("clock-{number}"), engine.addr())?;
    }
    cluster.publish_vms().await?;
    tokio::time::sleep(Duration::from_millis(START_MS)).await;
    Ok(cluster)
}

/// Cost of the first daemon without requests.
async fn at_rest(
    field: &str,
    count: usize,
    cluster: &Cluster,
    phase_s: u64,
) -> Result<Value, BenchError> {
    let before = usage(cluster)?;
    tokio::time::sleep(Duration::from_secs(phase_s)).await;
    let after = usage(cluster)?;
    let cpu_ms = (after[0].cpu_ms - before[0].cpu_ms) as f64;
    Ok(json!({
        field: count,
        "cpu_pct_of_core": cpu_ms / (phase_s as f64 * 10.0),
        "resident_kb": after[0].resident_kb,
    }))
}

fn usage(cluster: &Cluster) -> Result<Vec<ProcessUsage>, BenchError> {
    (0..cluster.entry_count())
        .filter_map(|position| cluster.entry(position))
        .map(|process| ProcessUsage::of(process.pid()))
        .collect()
}
