//! Report of `dev --once`.

use serde_json::json;
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
    /// Longest gap in each answer that a death cut.
    pub resume_ms: Vec<u64>,
    /// Tokens that callers received.
    pub tokens: u64,
    /// Tokens that engines decoded beyond those.
    pub extra_tokens: u64,
}

impl DevReport {
    /// Resume latency that 95 in 100 stay within; 0 without any resume.
    pub fn resume_p95_ms(&self) -> u64 {
        let mut sorted = self.resume_ms.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() * 95).div_ceil(100);
        sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
    }

    /// Extra decoded tokens in percent of the tokens that callers received.
    pub fn extra_tokens_pct(&self) -> f64 {
        self.extra_tokens as f64 * 100.0 / self.tokens.max(1) as f64
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
        writeln!(f, "resume p95:       {} ms", self.resume_p95_ms())?;
        write!(f, "extra tokens:     {:.2} %", self.extra_tokens_pct())
    }
}
