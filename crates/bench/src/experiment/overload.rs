//! Experiment `overload`: goodput at twice the capacity, with callers that retry.

use crate::{
    bench_error::BenchError,
    caller::GenerationRequest,
    cluster::{Cluster, Layout},
    experiment::{open_load::OpenLoad, options::ExperimentOptions},
};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::json;
use std::{path::Path, time::Duration};

/// Requests that an engine runs at a time.
const BATCH_LIMIT: usize = 8;

/// Time between tokens.
const GAP_MS: u64 = 20;

/// Tokens of each answer: more than a short request has.
const TOKENS: u32 = 70;

/// Time within which an answer counts: 1.4 s of decoding, and the longest wait.
const DEADLINE_MS: u64 = 4_000;

/// Offered load as a part of the nominal capacity. The peak is searched among all but the last one.
const LOADS: [f64; 5] = [0.7, 0.85, 1.0, 1.2, 2.0];

/// Time after the start of each load until its goodput counts.
const SETTLE_MS: u64 = 3_000;

/// Goodput at twice the capacity, as a part of the peak.
const TARGET: f64 = 0.95;

/// Tries of a caller after a rejection.
const RETRIES: u32 = 3;

/// Time that the engines need to report, before the load.
const WARM_UP_MS: u64 = 1_500;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let layout = Layout {
        token_gap_ms: GAP_MS,
        seed: options.seed,
        engine_args: vec!["--batch-limit".to_owned(), BATCH_LIMIT.to_string()],
        ..Layout::default()
    };
    let cluster = Cluster::start(program, layout).await?;
    tokio::time::sleep(Duration::from_millis(WARM_UP_MS)).await;
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let answer_s = f64::from(TOKENS) * GAP_MS as f64 / 1_000.0;
    // One place of each engine is the reserve for short requests.
    let places = (cluster.engine_count() * (BATCH_LIMIT - 1)) as f64;
    let capacity_per_s = places / answer_s;
    let duration_ms = options.duration_s * 1_000 / LOADS.len() as u64;
    let mut rows = Vec::new();
    let mut broken = 0;
    for part in LOADS {
        let load =
            OpenLoad { requests_per_s: part * capacity_per_s, duration_ms, retries: RETRIES };
        let shots = load.run(&cluster.entry_addrs(), &mut rng, question).await;
        // Answers of the start and of the drain would raise or lower the rate of the steady state.
        let steady_ms = SETTLE_MS..duration_ms;
        let good = shots
            .iter()
            .filter(|shot| shot.is_good(DEADLINE_MS) && steady_ms.contains(&shot.ended_at_ms))
            .count();
        broken += shots.iter().filter(|shot| !shot.is_intact).count();
        let offered_per_s = shots.len() as f64 * 1_000.0 / duration_ms as f64;
        let goodput_per_s =
            good as f64 * 1_000.0 / (duration_ms.saturating_sub(SETTLE_MS)).max(1) as f64;
        rows.push((part, offered_per_s, goodput_per_s));
        if !options.is_json {
            println!("load {part}: offered {offered_per_s:.1}/s, goodput {goodput_per_s:.1}/s");
        }
    }
    let peak = rows.iter().map(|row| row.2).fold(0.0, f64::max);
    let at_2x = rows[LOADS.len() - 1].2;
    println!("{}", json!({"peak_goodput": peak, "goodput_at_2x": at_2x, "rows": rows}));
    if broken > 0 {
        return Err(BenchError::Failed(format!("{broken} answers are not whole")));
    }
    if at_2x >= TARGET * peak {
        return Ok(());
    }
    Err(BenchError::Failed(format!("goodput is {at_2x:.1}/s at 2x, the peak is {peak:.1}/s")))
}

fn question(number: u64, _rng: &mut SmallRng) -> GenerationRequest {
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: format!("draft {number}"),
        max_tokens: TOKENS,
    }
}
