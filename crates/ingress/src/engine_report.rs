//! What an engine says of its load.

/// Load of an engine some hundred milliseconds ago.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Requests in the batch and in the queue.
    pub requests: u32,
    /// Those of them whose prompt is not read yet. A new prompt waits for them.
    pub pending_prefills: u32,
    /// Tokens in memory that cannot be evicted.
    pub kv_used_tokens: u64,
    /// Tokens that the memory holds.
    pub kv_cache_tokens: u64,
    /// Unix time of the engine's start; none if it does not say.
    pub started_unix_ms: Option<u64>,
    /// Identifiers of the requests that have made an event.
    pub runs: Vec<Box<str>>,
}
