//! Experiment `entry-deaths`: streamed answers stay complete while entries (daemons that serve callers) are killed or
//! frozen, sometimes together with engines.

use crate::{
    bench_error::BenchError,
    caller::{Answer, AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, Layout},
    experiment::{fault_injection::EngineWork, options::ExperimentOptions},
    percentile::percentile,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use std::{net::SocketAddr, path::Path, time::Duration};
use tokio::{task::JoinSet, time::Instant};

/// Number of concurrent callers.
const CALLERS: usize = 32;

/// Most tokens of each answer.
const TOKENS: u32 = 100;

/// Time between two faults.
const FAULT_INTERVAL_MS: u64 = 500;

/// Mean number of killed entries for each one that is killed together with an engine.
const DEATHS_PER_ENGINE_DEATH: u32 = 3;

/// Mean number of faults for each one that freezes an entry instead of killing it.
const FAULTS_PER_FREEZE: u32 = 4;

/// Time for which an entry is frozen.
const FREEZE_MS: u64 = 1_500;

/// Longest time that a caller waits for data before it closes the connection and resumes at another entry.
const TOKEN_TIMEOUT_MS: u64 = 500;

/// Most connections that a caller opens for one answer.
const MAX_CONNECTIONS: usize = 100;

/// Pause of a caller after a connection that delivered no token.
const RETRY_PAUSE_MS: u64 = 20;

/// Answer that was read over one or more connections.
pub(super) struct StreamOutcome {
    pub answer: Answer,
    pub prompt: String,
    /// Whether the answer holds exactly the tokens of its own request.
    pub is_whole: bool,
    /// Number of connections that ended after at least one event of the answer but before the answer was complete.
    pub reconnects: u64,
    /// Whether the caller closed a connection because nothing arrived for `TOKEN_TIMEOUT_MS`.
    was_silent: bool,
}

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let layout = Layout { entries_per_domain: 2, seed: options.seed, ..Layout::default() };
    let mut cluster = Cluster::start(program, layout).await?;
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let end = Instant::now() + Duration::from_secs(options.duration_s);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(ask_until(cluster.entry_addrs(), number, end));
    }
    let (mut deaths, mut engine_deaths, mut freezes) = (0, 0, 0);
    let mut work = EngineWork::default();
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(FAULT_INTERVAL_MS)).await;
        let entry = rng.random_range(0..cluster.entry_count());
        let engine = rng.random_range(0..cluster.engine_count());
        if rng.random_range(0..FAULTS_PER_FREEZE) == 0 {
            freeze(&cluster, entry).await;
            freezes += 1;
            continue;
        }
        let kills_engine = rng.random_range(0..DEATHS_PER_ENGINE_DEATH) == 0;
        if kills_engine {
            // The counters of an engine are lost with its process, so they are read before the kill.
            work += &cluster.engine_state(engine).await?;
            cluster.kill_engine(engine);
            engine_deaths += 1;
        }
        cluster.kill_entry(entry);
        deaths += 1;
        cluster.restart_entry(entry)?;
        if kills_engine {
            cluster.restart_engine(engine)?;
        }
    }
    let outcomes: Vec<StreamOutcome> = callers.join_all().await.into_iter().flatten().collect();
    for position in 0..cluster.engine_count() {
        work += &cluster.engine_state(position).await?;
    }
    let delivered: u64 =
        outcomes.iter().map(|outcome| u64::from(outcome.answer.token_count())).sum();
    let extra_tokens = work.decoded_tokens as f64 - delivered as f64;
    let whole = outcomes.iter().filter(|outcome| outcome.is_whole).count();
    let gaps = |was_silent: bool| -> Vec<u64> {
        let resumed = outcomes.iter().filter(|outcome| outcome.reconnects > 0);
        let of_kind = resumed.filter(|outcome| outcome.was_silent == was_silent);
        of_kind.map(|outcome| outcome.answer.longest_gap_ms).collect()
    };
    let (mut resumes, mut silent) = (gaps(false), gaps(true));
    let report = json!({
        "generations": outcomes.len(),
        "whole": whole,
        "deaths": deaths,
        "engine_deaths": engine_deaths,
        "freezes": freezes,
        "resumed": resumes.len() + silent.len(),
        "reconnects": outcomes.iter().map(|outcome| outcome.reconnects).sum::<u64>(),
        "resume_p50_ms": percentile(&mut resumes, 50),
        "resume_p95_ms": percentile(&mut resumes, 95),
        "resume_max_ms": resumes.last().copied().unwrap_or(0),
        "silent": silent.len(),
        "silent_p50_ms": percentile(&mut silent, 50),
        "silent_p95_ms": percentile(&mut silent, 95),
        "silent_max_ms": silent.last().copied().unwrap_or(0),
        "extra_tokens_pct": 100.0 * extra_tokens / delivered.max(1) as f64,
    });
    for outcome in outcomes.iter().filter(|outcome| !outcome.is_whole) {
        eprintln!(
            "an answer is incomplete: its last event is {:?}, its end is {:?}",
            outcome.answer.last_event_id, outcome.answer.end
        );
    }
    println!("{report}");
    if whole == outcomes.len() && !resumes.is_empty() {
        Ok(())
    } else {
        Err(BenchError::Failed(format!("{whole} of {} answers are complete", outcomes.len())))
    }
}

/// Freezes an entry for `FREEZE_MS`.
async fn freeze(cluster: &Cluster, position: usize) {
    if let Some(process) = cluster.entry(position) {
        process.freeze();
        tokio::time::sleep(Duration::from_millis(FREEZE_MS)).await;
        process.thaw();
    }
}

/// Sends one request after another until `end`, and returns the answers. `number` is the number of the caller, which
/// makes its prompts unique.
pub(super) async fn ask_until(
    addrs: Vec<SocketAddr>,
    number: usize,
    end: Instant,
) -> Vec<StreamOutcome> {
    let mut outcomes = Vec::new();
    while Instant::now() < end {
        let request = GenerationRequest {
            model: Layout::MODEL.to_owned(),
            prompt: format!("caller {number} question {}", outcomes.len()),
            max_tokens: TOKENS,
        };
        outcomes.push(ask(&addrs, number + outcomes.len(), &request).await);
    }
    outcomes
}

/// Reads one answer, from the entry at the position `first`. After a connection that ended early, resumes the answer at
/// the next entry.
async fn ask(addrs: &[SocketAddr], first: usize, request: &GenerationRequest) -> StreamOutcome {
    let caller = Caller::new(Layout::KEY).with_idle_timeout_ms(TOKEN_TIMEOUT_MS);
    let mut answer = Answer::empty();
    let (mut reconnects, mut was_silent) = (0, false);
    for attempt in 0..MAX_CONNECTIONS {
        let count = answer.token_count();
        caller.resume(addrs[(first + attempt) % addrs.len()], request, &mut answer).await;
        match &answer.end {
            AnswerEnd::Done => break,
            // An entry refuses requests while it has no configuration or reaches no replica holder. The next entry may
            // accept them.
            AnswerEnd::Cut | AnswerEnd::Refused(401 | 503, _) => {}
            AnswerEnd::Silent => was_silent = true,
            AnswerEnd::Error(_) | AnswerEnd::Refused(..) => break,
        }
        reconnects += u64::from(answer.last_event_id.is_some());
        if answer.token_count() == count {
            tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }
    let is_whole = answer.is_whole(&request.model, "", &request.prompt);
    StreamOutcome { answer, prompt: request.prompt.clone(), is_whole, reconnects, was_silent }
}
