//! Experiment `short-during-recovery`: short requests while a third of the engines is lost under full load.

use crate::{
    bench_error::BenchError,
    caller::{AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, Layout},
    experiment::{
        open_load::{OpenLoad, Shot},
        options::ExperimentOptions,
    },
    percentile::percentile,
};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::json;
use std::{net::SocketAddr, path::Path, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Requests that an engine runs at a time.
const BATCH_LIMIT: usize = 16;

/// Places of each engine that are the reserve for short requests.
const RESERVE: usize = 2;

/// Engines in each of the three failure domains; those of the last domain are lost.
const ENGINES_PER_DOMAIN: usize = 4;

/// Tokens of a long generation.
const LONG_TOKENS: u32 = 200;

/// Tokens of a short request.
const SHORT_TOKENS: u32 = 8;

/// Short requests a second.
const SHORT_PER_S: f64 = 40.0;

/// Time until the platform's list shows the loss.
const LIST_LAG_MS: u64 = 1_000;

/// Allowed p99 during the recovery, as a multiple of the unloaded one.
const TARGET: f64 = 1.5;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let layout = Layout {
        engines_per_domain: ENGINES_PER_DOMAIN,
        token_gap_ms: 20,
        seed: options.seed,
        engine_args: vec!["--batch-limit".to_owned(), BATCH_LIMIT.to_string()],
        ..Layout::default()
    };
    let mut cluster = Cluster::start(program, layout).await?;
    sleep(Duration::from_millis(1_500)).await;
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let addrs = cluster.entry_addrs();
    let duration_ms = options.duration_s * 1_000 / 3;
    let load = OpenLoad { requests_per_s: SHORT_PER_S, duration_ms, retries: 0 };
    let quiet = load.run(&addrs, &mut rng, short).await;
    // As many callers as the engines have places beside the reserve.
    let places = cluster.engine_count() * (BATCH_LIMIT - RESERVE);
    let end = Instant::now() + Duration::from_millis(2_000 + duration_ms);
    let mut long = JoinSet::new();
    for number in 0..places {
        long.spawn(long_until(addrs[number % addrs.len()], number, end));
    }
    sleep(Duration::from_millis(2_000)).await;
    let lost = 2 * ENGINES_PER_DOMAIN..3 * ENGINES_PER_DOMAIN;
    lost.clone().for_each(|position| cluster.kill_engine(position));
    let noticing = async {
        sleep(Duration::from_millis(LIST_LAG_MS)).await;
        for position in lost {
            cluster.set_vm_state(cluster.engine_id(position), None).await?;
        }
        Ok::<(), BenchError>(())
    };
    let (storm, noticed) = tokio::join!(load.run(&addrs, &mut rng, short), noticing);
    noticed?;
    let (done, rejected, failed) = long
        .join_all()
        .await
        .into_iter()
        .fold((0, 0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1, sum.2 + one.2));
    let (quiet_p99_ms, storm_p99_ms) = (rank(&quiet, 99), rank(&storm, 99));
    let not_done = |shots: &[Shot]| {
        shots.iter().filter(|shot| shot.end != AnswerEnd::Done || !shot.is_intact).count()
    };
    let (quiet_failed, storm_failed) = (not_done(&quiet), not_done(&storm));
    println!(
        "{}",
        json!({
            "quiet_p99_ms": quiet_p99_ms,
            "storm_p99_ms": storm_p99_ms,
            "storm_p50_ms": rank(&storm, 50),
            "storm_p95_ms": rank(&storm, 95),
            "quiet_failed": quiet_failed,
            "storm_requests": storm.len(),
            "storm_failed": storm_failed,
            "long_done": done,
            "long_rejected": rejected,
            "long_failed": failed,
        })
    );
    if !options.is_json {
        let ends = quiet.iter().chain(&storm).filter(|shot| shot.end != AnswerEnd::Done);
        ends.for_each(|shot| println!("short request at {} ms: {:?}", shot.ended_at_ms, shot.end));
    }
    if quiet_failed + storm_failed > 0 {
        let failed = quiet_failed + storm_failed;
        return Err(BenchError::Failed(format!("{failed} short requests were not answered")));
    }
    if storm_p99_ms as f64 <= TARGET * quiet_p99_ms as f64 {
        return Ok(());
    }
    Err(BenchError::Failed(format!("p99 is {storm_p99_ms} ms, quiet it is {quiet_p99_ms} ms")))
}

fn rank(shots: &[Shot], percent: usize) -> u64 {
    let mut times: Vec<u64> = shots.iter().map(|shot| shot.total_ms).collect();
    percentile(&mut times, percent)
}

fn short(number: u64, _rng: &mut SmallRng) -> GenerationRequest {
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: format!("is the tower free {number}"),
        max_tokens: SHORT_TOKENS,
    }
}

/// Asks long questions until `end`: answers that are whole, rejections, and failures.
async fn long_until(addr: SocketAddr, number: usize, end: Instant) -> (u32, u32, u32) {
    let caller = Caller::new(Layout::KEY);
    let (mut done, mut rejected, mut failed) = (0, 0, 0);
    // Starts are spread over an answer's length, so that the ends are spread too.
    sleep(Duration::from_millis(number as u64 * 4)).await;
    while Instant::now() < end {
        let prompt = format!("peal plan {number} {done} {rejected}");
        let question =
            GenerationRequest { model: Layout::MODEL.to_owned(), prompt, max_tokens: LONG_TOKENS };
        let answer = caller.ask(addr, &question).await;
        match answer.end {
            AnswerEnd::Refused(..) => {
                rejected += 1;
                sleep(Duration::from_millis(500)).await;
            }
            _ if answer.is_whole(&question.model, "", &question.prompt) => done += 1,
            _ => failed += 1,
        }
    }
    (done, rejected, failed)
}
