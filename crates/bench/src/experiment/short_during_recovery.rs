//! Experiment `short-during-recovery`: latency of short requests while a third of the engines is lost under full load.

use crate::{
    bench_error::BenchError,
    caller::{AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, Layout},
    experiment::{
        open_load::{OpenLoad, RequestResult},
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

/// Batch size of an engine: most requests that it runs concurrently.
const BATCH_LIMIT: usize = 16;

/// Batch slots of each engine that are reserved for short requests.
const RESERVED_SLOTS: usize = 2;

/// Engines in each of the three failure domains. Those of the last domain are killed.
const ENGINES_PER_DOMAIN: usize = 4;

/// Most tokens of a long generation.
const LONG_TOKENS: u32 = 200;

/// Most tokens of a short request.
const SHORT_TOKENS: u32 = 8;

/// Mean rate of short requests.
const SHORT_PER_S: f64 = 40.0;

/// Time from the loss of the engines until the platform removes them from its list of VMs.
const VM_LIST_LAG_MS: u64 = 1_000;

/// Largest allowed p99 latency of short requests during the recovery, as a multiple of their p99 without long requests.
const MAX_P99_RATIO: f64 = 1.5;

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
    let unloaded = load.run(&addrs, &mut rng, short_request).await;
    // One caller for each batch slot that is not reserved.
    let slots = cluster.engine_count() * (BATCH_LIMIT - RESERVED_SLOTS);
    let end = Instant::now() + Duration::from_millis(2_000 + duration_ms);
    let mut long_callers = JoinSet::new();
    for number in 0..slots {
        long_callers.spawn(ask_long_until(addrs[number % addrs.len()], number, end));
    }
    sleep(Duration::from_millis(2_000)).await;
    let lost = 2 * ENGINES_PER_DOMAIN..3 * ENGINES_PER_DOMAIN;
    lost.clone().for_each(|position| cluster.kill_engine(position));
    let list_update = async {
        sleep(Duration::from_millis(VM_LIST_LAG_MS)).await;
        for position in lost {
            cluster.set_vm_state(cluster.engine_id(position), None).await?;
        }
        Ok::<(), BenchError>(())
    };
    let (recovery, list_updated) =
        tokio::join!(load.run(&addrs, &mut rng, short_request), list_update);
    list_updated?;
    let (done, rejected, failed) = long_callers
        .join_all()
        .await
        .into_iter()
        .fold((0, 0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1, sum.2 + one.2));
    let (unloaded_p99_ms, recovery_p99_ms) =
        (latency_percentile(&unloaded, 99), latency_percentile(&recovery, 99));
    let count_failed = |results: &[RequestResult]| {
        results.iter().filter(|result| result.end != AnswerEnd::Done || !result.is_intact).count()
    };
    let (unloaded_failed, recovery_failed) = (count_failed(&unloaded), count_failed(&recovery));
    println!(
        "{}",
        json!({
            "quiet_p99_ms": unloaded_p99_ms,
            "storm_p99_ms": recovery_p99_ms,
            "storm_p50_ms": latency_percentile(&recovery, 50),
            "storm_p95_ms": latency_percentile(&recovery, 95),
            "quiet_failed": unloaded_failed,
            "storm_requests": recovery.len(),
            "storm_failed": recovery_failed,
            "long_done": done,
            "long_rejected": rejected,
            "long_failed": failed,
        })
    );
    if !options.is_json {
        let ends = unloaded.iter().chain(&recovery).filter(|result| result.end != AnswerEnd::Done);
        ends.for_each(|result| {
            println!("short request at {} ms: {:?}", result.ended_at_ms, result.end)
        });
    }
    if unloaded_failed + recovery_failed > 0 {
        let failed = unloaded_failed + recovery_failed;
        return Err(BenchError::Failed(format!("{failed} short requests were not answered")));
    }
    if recovery_p99_ms as f64 <= MAX_P99_RATIO * unloaded_p99_ms as f64 {
        return Ok(());
    }
    Err(BenchError::Failed(format!(
        "p99 is {recovery_p99_ms} ms, without long requests it is {unloaded_p99_ms} ms"
    )))
}

/// Returns a percentile of the total times of requests.
fn latency_percentile(results: &[RequestResult], percent: usize) -> u64 {
    let mut times: Vec<u64> = results.iter().map(|result| result.total_ms).collect();
    percentile(&mut times, percent)
}

fn short_request(number: u64, _rng: &mut SmallRng) -> GenerationRequest {
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: format!("is the tower free {number}"),
        max_tokens: SHORT_TOKENS,
    }
}

/// Sends one long request after another until `end`. Returns the numbers of complete answers, rejections and failures.
async fn ask_long_until(addr: SocketAddr, number: usize, end: Instant) -> (u32, u32, u32) {
    let caller = Caller::new(Layout::KEY);
    let (mut done, mut rejected, mut failed) = (0, 0, 0);
    // The callers start one after another, so that their answers do not all end at once.
    sleep(Duration::from_millis(number as u64 * 4)).await;
    while Instant::now() < end {
        let prompt = format!("peal plan {number} {done} {rejected}");
        let request =
            GenerationRequest { model: Layout::MODEL.to_owned(), prompt, max_tokens: LONG_TOKENS };
        let answer = caller.ask(addr, &request).await;
        match answer.end {
            AnswerEnd::Refused(..) => {
                rejected += 1;
                sleep(Duration::from_millis(500)).await;
            }
            _ if answer.is_whole(&request.model, "", &request.prompt) => done += 1,
            _ => failed += 1,
        }
    }
    (done, rejected, failed)
}
