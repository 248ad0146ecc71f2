//! Limits of a service's queue.

use serde::{Deserialize, Serialize};

/// Requests that may wait at each entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueLimits {
    /// Largest number of waiting requests.
    pub max_requests: u32,
    /// Longest wait.
    pub max_wait_ms: u32,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self { max_requests: 256, max_wait_ms: 2_000 }
    }
}
