//! Experiment `routing`: time to the first token with prompts of different lengths on 35 engines, for each routing
//! policy.

use crate::{
    bench_error::BenchError,
    caller::{AnswerEnd, GenerationRequest},
    cluster::{Cluster, Layout},
    experiment::{open_load::OpenLoad, options::ExperimentOptions},
    percentile::percentile,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use std::path::Path;

/// Routing policies in the order of the rows. The last one is the chosen policy; the others are the baselines.
const POLICIES: [&str; 4] = ["round_robin", "least_reported", "two_choices", "scored"];

/// Failure domains, with one entry and seven engines each.
const DOMAINS: usize = 5;

/// Batch size of an engine: most requests that it runs concurrently.
const BATCH_LIMIT: &str = "4";

/// Time in microseconds to process a token of the prompt. A history of 1,500 words, at one token each, takes 300 ms.
const PREFILL_US_PER_TOKEN: &str = "200";

/// Blocks in an engine's prefix cache. They have space for about four of the `HISTORIES`.
const CACHE_BLOCKS: &str = "160";

/// Mean request rate, about two thirds of the engines' capacity.
const REQUESTS_PER_S: f64 = 90.0;

/// Number of different histories. A history is a text of 1,500 words with which many long prompts begin.
const HISTORIES: u32 = 60;

/// Time within which the daemons learn the state of the engines, before the load.
const WARM_UP_MS: u64 = 2_500;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let mut rows = Vec::new();
    for policy in POLICIES {
        let row = measure(program, options, policy).await?;
        if !options.is_json {
            println!("{row}");
        }
        rows.push(row);
    }
    let p95 = |row: &Value| row["first_token_p95_ms"].as_u64().unwrap_or(u64::MAX);
    let chosen = p95(&rows[POLICIES.len() - 1]);
    let best = rows.iter().map(p95).min().unwrap_or(0);
    let broken: u64 = rows.iter().filter_map(|row| row["broken"].as_u64()).sum();
    println!("{}", json!({"rows": rows}));
    if broken > 0 {
        return Err(BenchError::Failed(format!("{broken} answers are not complete")));
    }
    if chosen as f64 <= best as f64 * 1.1 {
        return Ok(());
    }
    Err(BenchError::Failed(format!("first token p95 is {chosen} ms, a baseline has {best} ms")))
}

/// Measures a new cluster with a routing policy and returns a row of the report.
async fn measure(
    program: &Path,
    options: &ExperimentOptions,
    policy: &str,
) -> Result<Value, BenchError> {
    let args = [
        ["--batch-limit", BATCH_LIMIT],
        ["--prefill-us-per-token", PREFILL_US_PER_TOKEN],
        ["--cache-blocks", CACHE_BLOCKS],
    ];
    let layout = Layout {
        domains: (0..DOMAINS).map(|number| format!("domain-{number}")).collect(),
        engines_per_domain: 7,
        token_gap_ms: 20,
        seed: options.seed,
        engine_args: args.as_flattened().iter().map(|&arg| arg.to_owned()).collect(),
        entry_settings: format!("[route]\npolicy = \"{policy}\""),
        ..Layout::default()
    };
    let cluster = Cluster::start(program, layout).await?;
    tokio::time::sleep(std::time::Duration::from_millis(WARM_UP_MS)).await;
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let load = OpenLoad {
        requests_per_s: REQUESTS_PER_S,
        duration_ms: options.duration_s * 1_000 / POLICIES.len() as u64,
        retries: 0,
    };
    let results = load.run(&cluster.entry_addrs(), &mut rng, generation_request).await;
    let counters = cluster.engine_counters().await?;
    let mut first_token_ms: Vec<u64> =
        results.iter().filter_map(|result| result.first_token_ms).collect();
    let done = results.iter().filter(|result| result.end == AnswerEnd::Done).count();
    let mut requests: Vec<u64> = counters.iter().map(|counters| counters.requests).collect();
    Ok(json!({
        "policy": policy,
        "requests": results.len(),
        "done": done,
        "broken": results.iter().filter(|result| !result.is_intact).count(),
        "first_token_p50_ms": percentile(&mut first_token_ms, 50),
        "first_token_p95_ms": percentile(&mut first_token_ms, 95),
        "first_token_p99_ms": percentile(&mut first_token_ms, 99),
        "prefilled_tokens": counters.iter().map(|counters| counters.prefilled_tokens).sum::<u64>(),
        "cached_tokens": counters.iter().map(|counters| counters.cached_tokens).sum::<u64>(),
        "requests_per_engine_min": percentile(&mut requests, 1),
        "requests_per_engine_max": percentile(&mut requests, 100),
    }))
}

/// Makes a request. One prompt in four begins with all 1,500 words of a random history, the others with its first
/// 10 words. One answer in ten has up to 120 tokens, the others up to 20.
fn generation_request(number: u64, rng: &mut SmallRng) -> GenerationRequest {
    let history_number = rng.random_range(0..HISTORIES);
    let words = if rng.random_ratio(1, 4) { 1_500 } else { 10 };
    let history: String = (0..words).map(|word| format!("t{history_number}w{word} ")).collect();
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: format!("{history}question {number}"),
        max_tokens: if rng.random_ratio(1, 10) { 120 } else { 20 },
    }
}
