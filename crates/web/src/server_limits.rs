//! Limits of a server.

/// What a server takes from callers, and for how long it waits for them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Longest time from the first byte of a request to the end of its headers.
    pub headers_timeout_ms: u64,
    /// Longest time for which a connection may stay without a request.
    pub idle_timeout_ms: u64,
    /// Largest size of all headers of a request. Connections keep the limit that held when they were opened.
    pub headers_size_bytes: usize,
    /// Time after a stop in which new connections are still accepted.
    pub accept_after_stop_ms: u64,
    /// Time after a stop at which requests in flight are cut off; none to wait for all of them. With such a bound, new
    /// connections are also accepted while older ones have requests in flight.
    pub cut_after_stop_ms: Option<u64>,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            headers_timeout_ms: 30_000,
            idle_timeout_ms: 30_000,
            headers_size_bytes: 64 * 1024,
            accept_after_stop_ms: 0,
            cut_after_stop_ms: None,
        }
    }
}
