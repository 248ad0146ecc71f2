//! Counts of requests.

use serde::{Deserialize, Serialize};

/// Requests that ended, and those among them that burn a budget.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestCounts {
    /// Requests that ended, successful or not.
    pub total: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose first token or answer came later than the target, or never.
    pub slow: u64,
}

impl RequestCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.failed += other.failed;
        self.slow += other.slow;
    }
}
