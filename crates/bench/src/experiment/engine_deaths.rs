//! Experiment `engine-deaths`: answers stay whole while engines die.

use crate::{
    bench_error::BenchError,
    caller::{Answer, Caller, Question},
    cluster::{Cluster, Layout},
    experiment::options::ExperimentOptions,
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
const DEATH_INTERVAL_MS: u64 = 250;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let layout = Layout { seed: options.seed, ..Layout::default() };
    let usual_gap_ms = layout.token_gap_ms;
    let mut cluster = Cluster::start(program, layout).await?;
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let end = Instant::now() + Duration::from_secs(options.duration_s);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(ask_until(cluster.entry_addrs(), number, end));
    }
    let mut deaths = 0;
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(DEATH_INTERVAL_MS)).await;
        let position = rng.random_range(0..cluster.engine_count());
        cluster.kill_engine(position);
        cluster.restart_engine(position)?;
        deaths += 1;
    }
    let answers: Vec<(Answer, bool)> = callers.join_all().await.into_iter().flatten().collect();
    let whole = answers.iter().filter(|(_, is_whole)| *is_whole).count();
    // A gap of more than twice the usual one is a resume.
    let mut resumes: Vec<u64> = answers
        .iter()
        .map(|(answer, _)| answer.longest_gap_ms)
        .filter(|&gap_ms| gap_ms > 2 * usual_gap_ms)
        .collect();
    let report = json!({
        "generations": answers.len(),
        "whole": whole,
        "deaths": deaths,
        "resume_p50_ms": percentile(&mut resumes, 50),
        "resume_p95_ms": percentile(&mut resumes, 95),
        "resume_max_ms": resumes.last().copied().unwrap_or(0),
    });
    println!("{report}");
    if whole == answers.len() && deaths > 0 {
        Ok(())
    } else {
        Err(BenchError::Failed(format!("{whole} of {} answers are whole", answers.len())))
    }
}

/// Asks one question after another until `end`.
async fn ask_until(addrs: Vec<SocketAddr>, number: usize, end: Instant) -> Vec<(Answer, bool)> {
    let caller = Caller::new(Layout::KEY);
    let mut answers = Vec::new();
    while Instant::now() < end {
        let question = Question {
            model: Layout::MODEL.to_owned(),
            prompt: format!("caller {number} question {}", answers.len()),
            max_tokens: TOKENS,
        };
        let addr = addrs[(number + answers.len()) % addrs.len()];
        let answer = caller.ask(addr, &question).await;
        let is_whole = answer.is_whole(&question.model, "", &question.prompt);
        answers.push((answer, is_whole));
    }
    answers
}
