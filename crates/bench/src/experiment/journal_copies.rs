//! Experiment `journal-copies`: delay and cost of journal copies for each token.

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

/// Callers at a time.
const CALLERS: usize = 96;

/// Tokens of each answer.
const TOKENS: u32 = 200;

/// Times between the tokens of one engine stream: a low rate, where batches hold one token, and a high one.
const TOKEN_GAPS_MS: [u64; 2] = [20, 2];

/// Clock ticks a second in `/proc/{pid}/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Longest wait for the metrics of an entry.
const METRICS_WAIT_MS: u64 = 2_000;

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
    let mut counts: Vec<Option<u64>> = callers.join_all().await;
    let is_whole = counts.iter().all(Option::is_some);
    let tokens: u64 = counts.drain(..).flatten().sum();
    let mut cpu_s = 0.0;
    for position in 0..cluster.entry_count() {
        cpu_s += cluster.entry(position).map_or(0.0, cpu_seconds);
    }
    let metrics = metrics(cluster.entry_addr(0)).await?;
    if !is_whole {
        return Err(BenchError::Failed("an answer is not whole".to_owned()));
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

/// Asks one question after another until `end`; the count of tokens if all answers are whole.
async fn ask_until(addr: SocketAddr, number: usize, end: Instant) -> Option<u64> {
    let caller = Caller::new(Layout::KEY);
    let mut tokens = 0;
    for turn in 0.. {
        if Instant::now() >= end {
            break;
        }
        let question = GenerationRequest {
            model: Layout::MODEL.to_owned(),
            prompt: format!("caller {number} question {turn}"),
            max_tokens: TOKENS,
        };
        let answer = caller.ask(addr, &question).await;
        if !answer.is_whole(&question.model, "", &question.prompt) {
            return None;
        }
        tokens += u64::from(answer.token_count());
    }
    Some(tokens)
}

async fn metrics(addr: SocketAddr) -> Result<String, BenchError> {
    let reply = Client::new(addr, METRICS_WAIT_MS).send(Method::GET, "/metrics").await?;
    Ok(String::from_utf8_lossy(&reply.body).into_owned())
}

/// Quantile of the time for which released tokens waited for the holder.
fn quantile_ms(metrics: &str, quantile: &str) -> Option<f64> {
    let head = format!("release_wait_seconds{{quantile=\"{quantile}\"}} ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(head.as_str()))?;
    Some(line.parse::<f64>().ok()? * 1e3)
}

/// Processor time that a process has used.
fn cpu_seconds(process: &Process) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.pid())).unwrap_or_default();
    // The command may hold spaces; user and system time are the 12th and 13th field after it.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_S
}
