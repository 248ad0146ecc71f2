//! `dev --once`: sends generations while engines are killed, checks every answer and prints a report.

use crate::{
    dev::{engine_failure::EngineFailure, fleet::DevFleet, report::DevReport},
    run_error::RunError,
};
use stand::caller::{Answer, Caller, GenerationRequest};
use std::{net::SocketAddr, time::Duration};
use tokio::{task::JoinSet, time::Instant};

/// Number of generations that are requested at the same time.
const GENERATIONS: usize = 24;

/// Maximum number of tokens of each generation.
const MAX_TOKENS: u32 = 120;

/// Interval in milliseconds at which an engine is killed.
const KILL_INTERVAL_MS: u64 = 300;

/// Requests all generations at once, kills engines until every answer has ended, and prints the report, as JSON only if
/// `is_json` is set.
///
/// # Errors
///
/// An answer was incomplete, no engine was killed, or an engine could not be restarted.
pub async fn run(mut fleet: DevFleet, is_json: bool) -> Result<(), RunError> {
    let addr = fleet.addr();
    let mut requests: JoinSet<(Answer, bool)> =
        (0..GENERATIONS).map(|number| ask(addr, number)).collect();
    let mut answers = Vec::new();
    let mut failures: Vec<EngineFailure> = Vec::new();
    let interval = Duration::from_millis(KILL_INTERVAL_MS);
    let mut next_kill = Instant::now() + interval;
    while !requests.is_empty() {
        tokio::select! {
            Some(answer) = requests.join_next() => answers.extend(answer.ok()),
            () = tokio::time::sleep_until(next_kill) => {
                failures.push(fleet.kill_engine().await?);
                next_kill = Instant::now() + interval;
            }
        }
    }
    let report = DevReport::new(GENERATIONS, &answers, &failures, fleet.decoded_tokens());
    fleet.close().await;
    if !is_json {
        println!("{report}");
    }
    println!("{}", report.json());
    if report.is_success() {
        return Ok(());
    }
    Err(RunError::IncompleteAnswers(
        report.requested_answers,
        report.whole_answers,
        report.killed_engines,
    ))
}

/// Requests one generation. Returns the answer and whether this answer is complete and contains no text of another
/// generation.
async fn ask(addr: SocketAddr, number: usize) -> (Answer, bool) {
    let generation = GenerationRequest {
        model: DevFleet::MODEL.to_owned(),
        prompt: format!("peal plan {number}"),
        max_tokens: MAX_TOKENS,
    };
    let answer = Caller::new(DevFleet::KEY).ask(addr, &generation).await;
    let is_whole = answer.is_whole(&generation.model, "", &generation.prompt);
    (answer, is_whole)
}
