//! Limits of an admission queue.

/// Limits of the admission queue of one service at one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionQueueLimits {
    /// Maximum number of admitted requests that have not ended.
    pub max_running: u32,
    /// Number of the `max_running` slots that only short requests may use.
    pub short_reserve: u32,
    /// Maximum number of waiting requests of each class.
    pub max_waiting: usize,
    /// Maximum waiting time. With 0, a request that cannot run at once is rejected.
    pub max_wait_ms: u64,
}
