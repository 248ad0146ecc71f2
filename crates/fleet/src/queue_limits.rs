//! Limits of the request queues of a service.

use serde::{Deserialize, Serialize};

/// Limits of the queue that each entry has for a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueLimits {
    /// Maximum number of queued requests.
    pub max_requests: u32,
    /// Maximum wait of a request in milliseconds.
    pub max_wait_ms: u32,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self { max_requests: 256, max_wait_ms: 2_000 }
    }
}
