//! Experiment `entry-deaths`: answers stay whole while entries die, sometimes together with engines.

use crate::{
    bench_error::BenchError,
    caller::{Answer, AnswerEnd, Caller, GenerationRequest},
    cluster::{Cluster, Layout},
    experiment::{options::ExperimentOptions, storm::WorkCount},
    percentile::percentile,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;
use std::{net::SocketAddr, path::Path, time::Duration};
use tokio::{task::JoinSet, time::Instant};

/// Callers at a time.
const CALLERS: usize = 32;

/// Tokens of each answer.
const TOKENS: u32 = 100;

/// Time between two deaths.
const DEATH_INTERVAL_MS: u64 = 500;

/// One in so many entries dies together with an engine.
const ENGINE_SHARE: u32 = 3;

/// One in so many entries is frozen and woken instead of killed.
const FREEZE_SHARE: u32 = 4;

/// Time for which an entry is frozen.
const FREEZE_MS: u64 = 1_500;

/// Wait of a caller for the next token before it gives a connection up.
const PATIENCE_MS: u64 = 500;

/// Connections that a caller tries for one answer.
const TRIES: usize = 100;

/// Pause of a caller after a connection that brought no token.
const RETRY_PAUSE_MS: u64 = 20;

/// Answer with what it took to read it.
pub(super) struct Outcome {
    pub answer: Answer,
    pub prompt: String,
    pub is_whole: bool,
    pub reconnects: u64,
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
    let mut work = WorkCount::default();
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(DEATH_INTERVAL_MS)).await;
        let entry = rng.random_range(0..cluster.entry_count());
        let engine = rng.random_range(0..cluster.engine_count());
        if rng.random_range(0..FREEZE_SHARE) == 0 {
            freeze(&cluster, entry).await;
            freezes += 1;
            continue;
        }
        let has_engine = rng.random_range(0..ENGINE_SHARE) == 0;
        if has_engine {
            // The counters end with the process.
            work += &cluster.engine_state(engine).await?;
            cluster.kill_engine(engine);
            engine_deaths += 1;
        }
        cluster.kill_entry(entry);
        deaths += 1;
        cluster.restart_entry(entry)?;
        if has_engine {
            cluster.restart_engine(engine)?;
        }
    }
    let outcomes: Vec<Outcome> = callers.join_all().await.into_iter().flatten().collect();
    for position in 0..cluster.engine_count() {
        work += &cluster.engine_state(position).await?;
    }
    let delivered: u64 = outcomes.iter().map(|o| u64::from(o.answer.token_count())).sum();
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
        eprintln!("not whole: {:?} {:?}", outcome.answer.last_event_id, outcome.answer.end);
    }
    println!("{report}");
    if whole == outcomes.len() && !resumes.is_empty() {
        Ok(())
    } else {
        Err(BenchError::Failed(format!("{whole} of {} answers are whole", outcomes.len())))
    }
}

/// Freezes an entry and wakes it.
async fn freeze(cluster: &Cluster, position: usize) {
    if let Some(process) = cluster.entry(position) {
        process.freeze();
        tokio::time::sleep(Duration::from_millis(FREEZE_MS)).await;
        process.thaw();
    }
}

/// Asks one question after another until `end`.
pub(super) async fn ask_until(addrs: Vec<SocketAddr>, number: usize, end: Instant) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while Instant::now() < end {
        let question = GenerationRequest {
            model: Layout::MODEL.to_owned(),
            prompt: format!("caller {number} question {}", outcomes.len()),
            max_tokens: TOKENS,
        };
        outcomes.push(ask(&addrs, number + outcomes.len(), &question).await);
    }
    outcomes
}

/// Reads one answer, over another entry after each connection that was cut.
async fn ask(addrs: &[SocketAddr], first: usize, question: &GenerationRequest) -> Outcome {
    let caller = Caller::new(Layout::KEY).with_idle_timeout_ms(PATIENCE_MS);
    let mut answer = Answer::empty();
    let (mut reconnects, mut was_silent) = (0, false);
    for attempt in 0..TRIES {
        let count = answer.token_count();
        caller.resume(addrs[(first + attempt) % addrs.len()], question, &mut answer).await;
        match &answer.end {
            AnswerEnd::Done => break,
            // The entry has no configuration or no holder in reach yet; another one may.
            AnswerEnd::Cut | AnswerEnd::Refused(401 | 503, _) => {}
            AnswerEnd::Silent => was_silent = true,
            AnswerEnd::Error(_) | AnswerEnd::Refused(..) => break,
        }
        reconnects += u64::from(answer.last_event_id.is_some());
        if answer.token_count() == count {
            tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }
    let is_whole = answer.is_whole(&question.model, "", &question.prompt);
    Outcome { answer, prompt: question.prompt.clone(), is_whole, reconnects, was_silent }
}
