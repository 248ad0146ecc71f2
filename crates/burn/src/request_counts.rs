//! Counts of finished, failed and slow requests.

use serde::{Deserialize, Serialize};

/// Number of finished requests and of those that spend the budget of an objective.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestCounts {
    /// Requests that finished, whether they succeeded or failed.
    pub total: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose first token or response arrived later than the target or not at all.
    pub slow: u64,
}

impl RequestCounts {
    /// Adds `other` to these counts.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.failed += other.failed;
        self.slow += other.slow;
    }
}
