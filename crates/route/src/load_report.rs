//! Load report of an engine.

/// Load that an engine reported, with the time at which it applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Time on the entry's clock at which the engine had this load, not the time at which the report arrived.
    pub at_ms: u64,
    /// Number of requests in the batch and in the queue of the engine.
    pub requests: u32,
    /// Maximum number of requests in the batch.
    pub batch_limit: u32,
}
