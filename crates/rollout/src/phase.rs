//! Phase of a rollout.

use serde::{Deserialize, Serialize};

/// Phase of a rollout as one daemon knows it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// The target version gets a small share of the traffic.
    Evaluating,
    /// The target version is good and gets more and more traffic.
    Shifting,
    /// The target version gets all traffic for good.
    Completed,
    /// The target version gets no traffic.
    RolledBack,
}

impl Phase {
    /// Whether the rollout has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}
