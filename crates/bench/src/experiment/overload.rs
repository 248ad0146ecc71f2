//! Experiment `overload`: goodput at twice the capacity, with callers that retry after rejections.

use crate::{
    bench_error::BenchError,
    caller::GenerationRequest,
    cluster::{Cluster, Layout},
    experiment::{open_load::OpenLoad, options::ExperimentOptions},
};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::json;
use std::{path::Path, time::Duration};

/// Batch size of an engine: most requests that it runs concurrently.
const BATCH_LIMIT: usize = 8;

/// Time between two tokens of an engine stream.
const TOKEN_GAP_MS: u64 = 20;

/// Most tokens of each answer. They are more than a short request has, so that the batch slots that are reserved for
/// short requests stay free.
const TOKENS: u32 = 70;

/// Time within which an answer counts as goodput: `TOKENS * TOKEN_GAP_MS` (1.4 s) for decoding, the rest for the
/// longest wait in the queue.
const DEADLINE_MS: u64 = 4_000;

/// Offered loads as multiples of the nominal capacity. The peak goodput is taken over all of them; the last one is the
/// overload that is checked against it.
const LOAD_FACTORS: [f64; 5] = [0.7, 0.85, 1.0, 1.2, 2.0];

/// Time from the start of each load until answers count towards its goodput.
const SETTLE_MS: u64 = 3_000;

/// Smallest allowed goodput at twice the capacity, as a fraction of the peak goodput.
const MIN_GOODPUT_RATIO: f64 = 0.95;

/// Retries of a caller after a rejection.
const RETRIES: u32 = 3;

/// Time within which the daemons learn the state of the engines, before the first load.
const WARM_UP_MS: u64 = 1_500;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let layout = Layout {
        token_gap_ms: TOKEN_GAP_MS,
        seed: options.seed,
        engine_args: vec!["--batch-limit".to_owned(), BATCH_LIMIT.to_string()],
        ..Layout::default()
    };
    let cluster = Cluster::start(program, layout).await?;
    tokio::time::sleep(Duration::from_millis(WARM_UP_MS)).await;
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let answer_s = f64::from(TOKENS) * TOKEN_GAP_MS as f64 / 1_000.0;
    // One batch slot of each engine is reserved for short requests.
    let slots = (cluster.engine_count() * (BATCH_LIMIT - 1)) as f64;
    let capacity_per_s = slots / answer_s;
    let duration_ms = options.duration_s * 1_000 / LOAD_FACTORS.len() as u64;
    let mut rows = Vec::new();
    let mut broken = 0;
    for load_factor in LOAD_FACTORS {
        let load = OpenLoad {
            requests_per_s: load_factor * capacity_per_s,
            duration_ms,
            retries: RETRIES,
        };
        let results = load.run(&cluster.entry_addrs(), &mut rng, generation_request).await;
        // Only the steady state counts: fewer answers end while the load ramps up, and after `duration_ms` the last
        // ones end without new load.
        let steady_ms = SETTLE_MS..duration_ms;
        let good_answers = results
            .iter()
            .filter(|result| {
                result.is_complete_within(DEADLINE_MS) && steady_ms.contains(&result.ended_at_ms)
            })
            .count();
        broken += results.iter().filter(|result| !result.is_intact).count();
        let offered_per_s = results.len() as f64 * 1_000.0 / duration_ms as f64;
        let goodput_per_s =
            good_answers as f64 * 1_000.0 / (duration_ms.saturating_sub(SETTLE_MS)).max(1) as f64;
        rows.push((load_factor, offered_per_s, goodput_per_s));
        if !options.is_json {
            println!(
                "load {load_factor}: offered {offered_per_s:.1}/s, goodput {goodput_per_s:.1}/s"
            );
        }
    }
    let peak = rows.iter().map(|row| row.2).fold(0.0, f64::max);
    let goodput_at_2x = rows[LOAD_FACTORS.len() - 1].2;
    println!("{}", json!({"peak_goodput": peak, "goodput_at_2x": goodput_at_2x, "rows": rows}));
    if broken > 0 {
        return Err(BenchError::Failed(format!("{broken} answers are not complete")));
    }
    if goodput_at_2x >= MIN_GOODPUT_RATIO * peak {
        return Ok(());
    }
    Err(BenchError::Failed(format!(
        "goodput is {goodput_at_2x:.1}/s at 2x, the peak is {peak:.1}/s"
    )))
}

fn generation_request(number: u64, _rng: &mut SmallRng) -> GenerationRequest {
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: format!("draft {number}"),
        max_tokens: TOKENS,
    }
}
