//! Callers of a storm.

use crate::{
    caller::{Answer, Caller, GenerationRequest},
    cluster::Layout,
    experiment::storm::{load_counts::LoadCounts, settings::StormSettings},
};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

/// Answer with the outcome of its check.
#[derive(Debug)]
pub(super) struct Checked {
    pub answer: Answer,
    pub is_whole: bool,
}

/// Asks one question after another until `end`, or until all callers together asked as many as the settings say and as
/// many engines failed.
pub(super) async fn ask_until(
    addrs: Vec<SocketAddr>,
    number: usize,
    end: Instant,
    counts: Arc<LoadCounts>,
    settings: StormSettings,
) -> Vec<Checked> {
    let caller = Caller::new(Layout::KEY);
    let mut answers = Vec::new();
    while Instant::now() < end {
        if counts.is_enough(&settings) {
            break;
        }
        counts.asked.fetch_add(1, Ordering::Relaxed);
        let question = GenerationRequest {
            model: Layout::MODEL.to_owned(),
            prompt: format!("caller {number} question {}", answers.len()),
            max_tokens: settings.tokens,
        };
        let addr = addrs[(number + answers.len()) % addrs.len()];
        let answer = caller.ask(addr, &question).await;
        let is_whole = answer.is_whole(&question.model, "", &question.prompt);
        if !is_whole {
            eprintln!("not whole: {:?} after {} tokens", answer.end, answer.token_times.len());
        }
        answers.push(Checked { answer, is_whole });
    }
    answers
}
