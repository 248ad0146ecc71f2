//! Load report of an engine.

/// Load that an engine reported. The figures are some hundred milliseconds old.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Number of requests in the batch and in the queue.
    pub requests: u32,
    /// Number of these requests that wait in the queue.
    pub queued: u32,
    /// Number of these requests whose prefill is not finished. The prefill of a new request waits for them.
    pub pending_prefills: u32,
    /// Tokens in the KV cache that cannot be evicted.
    pub kv_used_tokens: u64,
    /// Capacity of the KV cache in tokens.
    pub kv_cache_tokens: u64,
    /// Unix time at which the engine started, in milliseconds; `None` if the report does not state it.
    pub started_unix_ms: Option<u64>,
    /// Running requests that have produced an event.
    pub runs: Vec<EngineRun>,
}

/// Running request in a load report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineRun {
    /// Identifier of the request.
    pub request_id: Box<str>,
    /// Tokens of the request in the KV cache.
    pub kv_tokens: u64,
    /// Urgency level of the request; `None` if the report does not state it.
    pub urgency: Option<u8>,
}
