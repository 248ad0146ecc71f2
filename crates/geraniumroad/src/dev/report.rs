//! Computes and formats the report of `dev --once`.

use crate::dev::engine_failure::EngineFailure;
use serde_json::json;
use stand::caller::Answer;
use std::fmt::{Display, Formatter, Result as FmtResult};

/// Results of one execution of `dev --once`.
#[derive(Clone, Debug, Default)]
pub struct DevReport {
    /// Number of generations that were requested.
    pub requested_answers: usize,
    /// Number of answers that are complete and contain no text of another generation.
    pub whole_answers: usize,
    /// Number of engines that were killed.
    pub killed_engines: usize,
    /// Resume latencies in ascending order: time from each failure to the next token of each stream that the
    /// failure interrupted.
    resumes_ms: Vec<u64>,
    /// Number of tokens that callers received.
    delivered_tokens: u64,
    /// Number of tokens that engines decoded, including those that no caller received.
    decoded_tokens: u64,
}

impl DevReport {
    /// Creates a report on `requested` generations. The `bool` beside each answer says whether the answer is complete
    /// and contains no text of another generation.
    pub fn new(
        requested: usize,
        answers: &[(Answer, bool)],
        failures: &[EngineFailure],
        decoded_tokens: u64,
    ) -> Self {
        let mut resumes_ms: Vec<u64> =
            failures.iter().flat_map(|failure| resume_latencies(failure, answers)).collect();
        resumes_ms.sort_unstable();
        Self {
            requested_answers: requested,
            whole_answers: answers.iter().filter(|(_, is_whole)| *is_whole).count(),
            killed_engines: failures.len(),
            resumes_ms,
            delivered_tokens: answers
                .iter()
                .map(|(answer, _)| answer.token_times.len() as u64)
                .sum(),
            decoded_tokens,
        }
    }

    /// Returns the 95th percentile of the resume latencies, or 0 if no stream was resumed.
    pub fn resume_p95_ms(&self) -> u64 {
        let rank = (self.resumes_ms.len() * 95).div_ceil(100);
        self.resumes_ms.get(rank.saturating_sub(1)).copied().unwrap_or(0)
    }

    /// Returns the number of decoded tokens that no caller received, in percent of those that callers received.
    pub fn extra_tokens_pct(&self) -> f64 {
        let extra_tokens = self.decoded_tokens.saturating_sub(self.delivered_tokens);
        extra_tokens as f64 * 100.0 / self.delivered_tokens.max(1) as f64
    }

    /// Returns whether all answers are complete and at least one engine was killed.
    pub fn is_success(&self) -> bool {
        self.requested_answers > 0
            && self.whole_answers == self.requested_answers
            && self.killed_engines > 0
    }

    /// Formats the report as one line of JSON.
    pub fn json(&self) -> String {
        json!({
            "answers": self.requested_answers,
            "whole": self.whole_answers,
            "deaths": self.killed_engines,
            "resumes": self.resumes_ms.len(),
            "resume_p95_ms": self.resume_p95_ms(),
            "extra_tokens_pct": self.extra_tokens_pct(),
        })
        .to_string()
    }
}

impl Display for DevReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        writeln!(f, "answers:          {} ({} whole)", self.requested_answers, self.whole_answers)?;
        writeln!(f, "engine deaths:    {}", self.killed_engines)?;
        writeln!(f, "resumed streams:  {}", self.resumes_ms.len())?;
        writeln!(f, "resume p95:       {} ms", self.resume_p95_ms())?;
        write!(f, "extra tokens:     {:.2} %", self.extra_tokens_pct())
    }
}

/// Returns the resume latency of each stream that `failure` interrupted. Streams without a later token are left out.
fn resume_latencies<'a>(
    failure: &'a EngineFailure,
    answers: &'a [(Answer, bool)],
) -> impl Iterator<Item = u64> + 'a {
    let interrupted = answers.iter().filter(|(answer, _)| {
        answer
            .generation_id()
            .is_some_and(|id| failure.generation_ids.iter().any(|lost| lost == id))
    });
    interrupted.filter_map(|(answer, _)| answer.resume_ms(failure.at))
}
