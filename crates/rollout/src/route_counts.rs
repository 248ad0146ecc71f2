//! Numbers of requests and answers on one route during a rollout.

use crate::counts::Counts;
use serde::{Deserialize, Serialize};

/// Numbers of requests and answers on one route during a rollout.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteCounts {
    /// Requests of callers since the order.
    pub requests: u32,
    /// Sends to the target version, including retries and resumed streams.
    pub sends: u32,
    /// Answers of the target version.
    pub target: Counts,
    /// Answers of other versions since the order.
    pub old: Counts,
    /// Answers in the seconds before the order.
    pub before: Counts,
}

impl RouteCounts {
    /// Adds the counts of another daemon.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.sends += other.sends;
        self.target.add(&other.target);
        self.old.add(&other.old);
        self.before.add(&other.before);
    }

    /// Requests that show how much traffic the route has.
    pub fn traffic(&self) -> u32 {
        self.requests + self.before.answers
    }
}
