//! Callers of a load with injected failures.

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

/// Answer with the result of its check.
#[derive(Debug)]
pub(super) struct CheckedAnswer {
    pub answer: Answer,
    /// Whether the answer holds exactly the tokens of its own request.
    pub is_whole: bool,
}

/// Sends one request after another until `end`, or until the callers together have sent as many as the settings say
/// and the failures of the settings have been injected.
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
                "incomplete answer: {:?} after {} tokens",
                answer.end,
                answer.token_times.len()
            );
        }
        answers.push(CheckedAnswer { answer, is_whole });
    }
    answers
}
