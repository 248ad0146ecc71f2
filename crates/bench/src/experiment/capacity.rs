//! Experiment `capacity`: processor time and memory of a daemon as functions of the numbers of streams, client accounts
//! and VMs, at three or more sizes each.

use crate::{
    bench_error::BenchError,
    cluster::{Cluster, Layout},
    experiment::{
        options::ExperimentOptions,
        relay::{StreamLoad, Target, TimestampEngine},
    },
    process_usage::ProcessUsage,
};
use serde_json::{Value, json};
use std::{path::Path, time::Duration};

/// Time between two tokens of a stream.
const TOKEN_GAP_MS: u64 = 41;

/// Numbers of concurrent streams.
const STREAMS: [usize; 3] = [100, 400, 1_600];

/// Numbers of additional client accounts in the configuration.
const ACCOUNTS: [usize; 3] = [50, 150, 450];

/// Numbers of engines in the list of VMs. Daemons poll each of them, so the cost beyond that of 0 engines is the cost
/// of polling.
const ENGINES: [usize; 4] = [0, 75, 250, 750];

/// Time within which daemons discover the engines and each other.
const WARM_UP_MS: u64 = 3_000;

/// Phases into which the duration of the experiment is divided.
const PHASES: u64 = 10;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let phase_s = (options.duration_s / PHASES).max(2);
    let engine = TimestampEngine::start().await?;
    let mut streams = Vec::new();
    for count in STREAMS {
        let cluster = start_daemons(program, options, &engine, 0, 1).await?;
        let before = usage(&cluster)?;
        let load = StreamLoad { streams: count, gap_ms: TOKEN_GAP_MS };
        let target = Target::Entry(cluster.entry_addr(0));
        let outcome = load.run(target, engine.epoch(), phase_s).await;
        let tokens = outcome.delays_us.len() as f64;
        let after = usage(&cluster)?;
        let cpu_us = |index: usize| (after[index].cpu_ms - before[index].cpu_ms) as f64 * 1_000.0;
        let holders_cpu_us: f64 = (1..after.len()).map(cpu_us).sum();
        let holder_kb = after[1..].iter().map(|usage| usage.resident_kb).max();
        streams.push(json!({
            "streams": count,
            "tokens": tokens,
            "entry_cpu_us_per_token": cpu_us(0) / tokens.max(1.0),
            "holders_cpu_us_per_token": holders_cpu_us / tokens.max(1.0),
            "entry_resident_kb": after[0].resident_kb,
            "holder_resident_kb": holder_kb,
        }));
    }
    let mut accounts = Vec::new();
    for count in ACCOUNTS {
        let cluster = start_daemons(program, options, &engine, count, 1).await?;
        accounts.push(measure_idle("accounts", count, &cluster, phase_s).await?);
    }
    let mut engines = Vec::new();
    for count in ENGINES {
        let cluster = start_daemons(program, options, &engine, 0, count).await?;
        engines.push(measure_idle("engines", count, &cluster, phase_s).await?);
    }
    println!("{}", json!({"streams": streams, "accounts": accounts, "engines": engines}));
    Ok(())
}

/// Starts three daemons that replicate journals to each other, with `accounts` additional client accounts. The list of
/// VMs contains `engines` engines, which all have the address of `engine`.
async fn start_daemons(
    program: &Path,
    options: &ExperimentOptions,
    engine: &TimestampEngine,
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
    tokio::time::sleep(Duration::from_millis(WARM_UP_MS)).await;
    Ok(cluster)
}

/// Measures the first daemon without requests for `phase_s`. Returns a row of the report with `count` under the key
/// `field`.
async fn measure_idle(
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

/// Returns the resource usage of all running entries in the order of their positions.
fn usage(cluster: &Cluster) -> Result<Vec<ProcessUsage>, BenchError> {
    (0..cluster.entry_count())
        .filter_map(|position| cluster.entry(position))
        .map(|process| ProcessUsage::of(process.pid()))
        .collect()
}
