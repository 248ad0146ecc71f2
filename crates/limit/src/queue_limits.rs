//! Bounds of a queue.

/// Bounds of the queue of a service at one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Requests that may run at a time.
    pub running: u32,
    /// Part of `running` that only short requests may use.
    pub short_reserve: u32,
    /// Requests of each class that may wait.
    pub waiting: usize,
    /// Longest wait.
    pub wait_ms: u64,
}
