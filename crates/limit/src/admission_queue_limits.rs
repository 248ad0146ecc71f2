//! Bounds of a queue.

/// Bounds of the queue of a service at one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionQueueLimits {
    /// Requests that may run at a time.
    pub max_running: u32,
    /// Part of `max_running` that only short requests may use.
    pub short_reserve: u32,
    /// Requests of each class that may wait.
    pub max_waiting: usize,
    /// Longest wait.
    pub max_wait_ms: u64,
}
