//! Report of `dev --once`.

use crate::dev::engine_failure::EngineFailure;
use serde_json::json;
use stand::caller::Answer;
use std::fmt::{Display, Formatter, Result as FmtResult};

/// What a run of `dev --once` measured.
#[derive(Clone, Debug, Default)]
pub struct DevReport {
    /// Generations that were asked for.
    pub answers: usize,
    /// Answers that are whole and unmixed.
    pub whole: usize,
    /// Engines that died.
    pub deaths: usize,
    /// Time from each death to the next token of each stream that it interrupted, in ascending order.
    resumes_ms: Vec<u64>,
    delivered_tokens: u64,
    decoded_tokens: u64,
}

impl DevReport {
    /// Report on `asked` generations; the answers come with the result of their check.
    pub fn new(
        asked: usize,
        answers: &[(Answer, bool)],
        deaths: &[EngineFailure],
        decoded_tokens: u64,
    ) -> Self {
        let mut resumes_ms: Vec<u64> =
            deaths.iter().flat_map(|death| resumes(death, answers)).collect();
        resumes_ms.sort_unstable();
        Self {
            answers: asked,
            whole: answers.iter().filter(|(_, is_whole)| *is_whole).count(),
            deaths: deaths.len(),
            resumes_ms,
            delivered_tokens: answers
                .iter()
                .map(|(answer, _)| answer.token_times.len() as u64)
                .sum(),
            decoded_tokens,
        }
    }

    /// Resume latency that 95 in 100 stay within; 0 without any resume.
    pub fn resume_p95_ms(&self) -> u64 {
        let rank = (self.resumes_ms.len() * 95).div_ceil(100);
        self.resumes_ms.get(rank.saturating_sub(1)).copied().unwrap_or(0)
    }

    /// Tokens decoded beyond those that callers received, in percent of the latter.
    pub fn extra_tokens_pct(&self) -> f64 {
        let extra_tokens = self.decoded_tokens.saturating_sub(self.delivered_tokens);
        extra_tokens as f64 * 100.0 / self.delivered_tokens.max(1) as f64
    }

    /// Whether every answer was whole and engines died.
    pub fn is_success(&self) -> bool {
        self.answers > 0 && self.whole == self.answers && self.deaths > 0
    }

    /// The report as one JSON object.
    pub fn json(&self) -> String {
        json!({
            "answers": self.answers,
            "whole": self.whole,
            "deaths": self.deaths,
            "resumes": self.resumes_ms.len(),
            "resume_p95_ms": self.resume_p95_ms(),
            "extra_tokens_pct": self.extra_tokens_pct(),
        })
        .to_string()
    }
}

impl Display for DevReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        writeln!(f, "answers:          {} ({} whole)", self.answers, self.whole)?;
        writeln!(f, "engine deaths:    {}", self.deaths)?;
        writeln!(f, "resumed streams:  {}", self.resumes_ms.len())?;
        writeln!(f, "resume p95:       {} ms", self.resume_p95_ms())?;
        write!(f, "extra tokens:     {:.2} %", self.extra_tokens_pct())
    }
}

fn resumes<'a>(
    death: &'a EngineFailure,
    answers: &'a [(Answer, bool)],
) -> impl Iterator<Item = u64> + 'a {
    let interrupted = answers.iter().filter(|(answer, _)| {
        answer.generation_id().is_some_and(|id| death.generation_ids.iter().any(|dead| dead == id))
    });
    interrupted.filter_map(|(answer, _)| answer.resume_ms(death.at))
}
