//! Numbers of answers of one version on one route.

use serde::{Deserialize, Serialize};

/// Numbers of answers of one version on one route. Lost connections and refusals are no answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// All answers, including failures and slow answers.
    pub answers: u32,
    /// Answers with a server error.
    pub failures: u32,
    /// Answers without an error that took several times as long as usual.
    pub slow: u32,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.slow += other.slow;
    }

    /// Counts since an earlier state.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}
