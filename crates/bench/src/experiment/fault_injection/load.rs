//! Callers that request answers one after another while failures are injected.

use crate::{
    caller::{Answer, Caller, GenerationRequest},
    cluster::Layout,
    experiment::fault_injection::{load_progress::LoadProgress, settings::FaultInjectionSettings},
};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

/// Answer that a caller received, with the result of its verification.
#[derive(Debug)]
pub(super) struct CheckedAnswer {
    pub answer: Answer,
    /// Whether the answer holds exactly the tokens of its own request.
    pub is_whole: bool,
}

/// Sends one request after another to the entries at `addrs` in turn, and returns the answers. Stops at `end`, or
/// earlier when `progress` has reached both `settings.generations` and `settings.failures`. `number` is the number of
/// the caller, which makes its prompts unique.
pub(super) async fn ask_until(
    addrs: Vec<SocketAddr>,
    number: usize,
    end: Instant,
    progress: Arc<LoadProgress>,
    settings: FaultInjectionSettings,
) -> Vec<CheckedAnswer> {
    let caller = Caller::new(Layout::KEY);
    let mut answers = Vec::new();
    while Instant::now() < end {
        if progress.is_finished(&settings) {
            break;
        }
        progress.sent.fetch_add(1, Ordering::Relaxed);
        let request = GenerationRequest {
            model: Layout::MODEL.to_owned(),
            prompt: format!("caller {number} question {}", answers.len()),
            max_tokens: settings.tokens,
        };
        let addr = addrs[(number + answers.len()) % addrs.len()];
        let answer = caller.ask(addr, &request).await;
        let is_whole = answer.is_whole(&request.model, "", &request.prompt);
        if !is_whole {
            eprintln!(
                "an answer is incomplete: its end is {:?} after {} tokens",
                answer.end,
                answer.token_times.len()
            );
        }
        answers.push(CheckedAnswer { answer, is_whole });
    }
    answers
}
