//! `dev --once`: generations, deaths, checks and a report.

use crate::{
    dev::{death::Death, fleet::DevFleet, report::DevReport},
    run_error::RunError,
};
use stand::caller::{Answer, Caller, GenerationRequest};
use std::{net::SocketAddr, time::Duration};
use tokio::{task::JoinSet, time::Instant};

/// Generations that are sent.
const GENERATIONS: usize = 24;

/// Largest number of tokens of each generation.
const TOKENS: u32 = 120;

/// Time between two deaths.
const DEATH_INTERVAL_MS: u64 = 300;

/// Sends generations, kills engines, checks every answer and prints the report.
///
/// # Errors
///
/// An answer was not whole, no engine died, or an engine could not start.
pub async fn run(mut fleet: DevFleet, is_json: bool) -> Result<(), RunError> {
    let addr = fleet.addr();
    let mut asking: JoinSet<(Answer, bool)> =
        (0..GENERATIONS).map(|number| ask(addr, number)).collect();
    let mut answers = Vec::new();
    let mut deaths: Vec<Death> = Vec::new();
    let interval = Duration::from_millis(DEATH_INTERVAL_MS);
    let mut next_death = Instant::now() + interval;
    while !asking.is_empty() {
        tokio::select! {
            Some(answer) = asking.join_next() => answers.extend(answer.ok()),
            () = tokio::time::sleep_until(next_death) => {
                deaths.push(fleet.kill_engine().await?);
                next_death = Instant::now() + interval;
            }
        }
    }
    let report = DevReport::new(GENERATIONS, &answers, &deaths, fleet.decoded_tokens());
    fleet.close().await;
    if !is_json {
        println!("{report}");
    }
    println!("{}", report.json());
    if report.is_success() {
        return Ok(());
    }
    Err(RunError::NotWhole(report.answers, report.whole, report.deaths))
}

/// Asks for one generation; whether its answer is whole.
async fn ask(addr: SocketAddr, number: usize) -> (Answer, bool) {
    let question = GenerationRequest {
        model: DevFleet::MODEL.to_owned(),
        prompt: format!("peal plan {number}"),
        max_tokens: TOKENS,
    };
    let answer = Caller::new(DevFleet::KEY).ask(addr, &question).await;
    let is_whole = answer.is_whole(&question.model, "", &question.prompt);
    (answer, is_whole)
}
