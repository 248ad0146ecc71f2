//! Promises and how often they were kept.

use base::HashMap;

/// What callers saw, and which promises were broken.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Streams that arrived whole.
    pub whole_streams: u64,
    /// Streams that went on at another daemon after a cut.
    pub resumed_streams: u64,
    /// Calls that were answered with success.
    pub answered_calls: u64,
    /// Requests that were refused as not run.
    pub refused: u64,
    /// Requests that failed otherwise, or whose connection was cut.
    pub failed: u64,
    /// Faults that were made.
    pub faults: u64,
    /// Broken promises, in words.
    pub violations: Vec<String>,
}

/// Requests that still have to be compared with what upstreams ran.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    /// Requests that were refused as not run.
    pub refused: Vec<String>,
    /// Requests that may run at most once.
    pub at_most_once: Vec<String>,
    /// Answered requests that may run at most once.
    pub answered_once: Vec<String>,
}

impl SoakReport {
    /// Compares what callers were told with what upstreams ran.
    pub(crate) fn compare(&mut self, claims: &Claims, runs: &HashMap<String, usize>) {
        let count = |id: &String| runs.get(id).copied().unwrap_or(0);
        for id in claims.refused.iter().filter(|id| count(id) > 0) {
            self.violations.push(format!("{id} was refused as not run, and ran"));
        }
        for id in claims.at_most_once.iter().filter(|id| count(id) > 1) {
            self.violations.push(format!("{id} ran {} times", count(id)));
        }
        for id in claims.answered_once.iter().filter(|id| count(id) == 0) {
            self.violations.push(format!("{id} was answered, and did not run"));
        }
    }

    /// One line with all figures.
    pub fn summary(&self) -> String {
        format!(
            "whole_streams={} resumed_streams={} answered_calls={} refused={} failed={} faults={} broken={}",
            self.whole_streams,
            self.resumed_streams,
            self.answered_calls,
            self.refused,
            self.failed,
            self.faults,
            self.violations.len()
        )
    }
}
