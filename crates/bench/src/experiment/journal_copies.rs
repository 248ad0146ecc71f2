//! Experiment `journal-copies`: delay and processor time that each token costs when its journal is replicated to
//! another daemon, the replica holder.

use crate::{
    bench_error::BenchError,
    caller::{Caller, GenerationRequest},
    cluster::{Cluster, Layout, Process},
    experiment::options::ExperimentOptions,
};
use serde_json::{Value, json};
use std::{net::SocketAddr, path::Path, time::Duration};
use tokio::{task::JoinSet, time::Instant};
use web::{Client, Method};

/// Number of concurrent callers.
const CALLERS: usize = 96;

/// Most tokens of each answer.
const TOKENS: u32 = 200;

/// Times between two tokens of a stream at its engine. At the first, low rate, each batch that is sent to the replica
/// holder contains one token; the second rate is high.
const TOKEN_GAPS_MS: [u64; 2] = [20, 2];

/// Clock ticks per second in `/proc/{pid}/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Timeout of a request for the metrics of an entry.
const METRICS_TIMEOUT_MS: u64 = 2_000;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let mut rows = Vec::new();
    for token_gap_ms in TOKEN_GAPS_MS {
        for has_peers in [false, true] {
            rows.push(measure(program, options, token_gap_ms, has_peers).await?);
        }
    }
    println!("{}", json!({ "rows": rows }));
    Ok(())
}

/// Measures a new cluster, whose daemons replicate journals if `has_peers`, and returns a row of the report.
async fn measure(
    program: &Path,
    options: &ExperimentOptions,
    token_gap_ms: u64,
    has_peers: bool,
) -> Result<Value, BenchError> {
    let layout = Layout { has_peers, token_gap_ms, seed: options.seed, ..Layout::default() };
    let cluster = Cluster::start(program, layout).await?;
    let end = Instant::now() + Duration::from_secs(options.duration_s);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let addr = cluster.entry_addr(number % cluster.entry_count());
        callers.spawn(ask_until(addr, number, end));
    }
    let mut token_counts: Vec<Option<u64>> = callers.join_all().await;
    let is_whole = token_counts.iter().all(Option::is_some);
    let tokens: u64 = token_counts.drain(..).flatten().sum();
    let mut cpu_s = 0.0;
    for position in 0..cluster.entry_count() {
        cpu_s += cluster.entry(position).map_or(0.0, cpu_seconds);
    }
    let metrics = read_metrics(cluster.entry_addr(0)).await?;
    if !is_whole {
        return Err(BenchError::Failed("an answer is not complete".to_owned()));
    }
    Ok(json!({
        "token_gap_ms": token_gap_ms,
        "has_copies": has_peers,
        "tokens": tokens,
        "cpu_us_per_token": cpu_s * 1e6 / tokens as f64,
        "release_wait_p50_ms": quantile_ms(&metrics, "0.5"),
        "release_wait_p99_ms": quantile_ms(&metrics, "0.99"),
    }))
}

/// Sends one request after another until `end`. Returns the number of tokens received, or `None` if an answer is not
/// complete.
async fn ask_until(addr: SocketAddr, number: usize, end: Instant) -> Option<u64> {
    let caller = Caller::new(Layout::KEY);
    let mut tokens = 0;
    for turn in 0.. {
        if Instant::now() >= end {
            break;
        }
        let request = GenerationRequest {
            model: Layout::MODEL.to_owned(),
            prompt: format!("caller {number} question {turn}"),
            max_tokens: TOKENS,
        };
        let answer = caller.ask(addr, &request).await;
        if !answer.is_whole(&request.model, "", &request.prompt) {
            return None;
        }
        tokens += u64::from(answer.token_count());
    }
    Some(tokens)
}

async fn read_metrics(addr: SocketAddr) -> Result<String, BenchError> {
    let reply = Client::new(addr, METRICS_TIMEOUT_MS).send(Method::GET, "/metrics").await?;
    Ok(String::from_utf8_lossy(&reply.body).into_owned())
}

/// Returns a quantile of the time in milliseconds for which tokens waited for the replica holder before they were sent
/// to the caller. Returns `None` if the entry does not report it.
fn quantile_ms(metrics: &str, quantile: &str) -> Option<f64> {
    let head = format!("release_wait_seconds{{quantile=\"{quantile}\"}} ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(head.as_str()))?;
    Some(line.parse::<f64>().ok()? * 1e3)
}

/// Returns the processor time in seconds that a process has used; 0 if it cannot be read.
fn cpu_seconds(process: &Process) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.pid())).unwrap_or_default();
    // The command name may contain spaces. User and system time are the 12th and 13th field after it.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_S
}
