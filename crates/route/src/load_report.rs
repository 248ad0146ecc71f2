//! Load that an engine reported.

/// Load of an engine at a time in the past.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Time that the load is from, not that of its arrival.
    pub at_ms: u64,
    /// Requests in the batch and in the queue.
    pub requests: u32,
    /// Largest number of requests in the batch.
    pub batch_limit: u32,
}
