//! Limits and timeouts of the HTTP server, with their defaults.

/// Limits on what a server accepts from callers and on how long it waits for them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Longest time from the first byte of a request to the end of its headers, in milliseconds.
    pub headers_timeout_ms: u64,
    /// Longest time that a connection may stay open without a request, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Largest total size of the headers of a request, which the handler checks. A server refuses by itself only
    /// headers that exceed 64 KiB and the limit that was active when their connection was accepted.
    pub headers_size_bytes: usize,
    /// How long new connections are still accepted after the stop of the server, in milliseconds.
    pub accept_after_stop_ms: u64,
    /// Timeout of requests in flight, counted from the stop of the server, in milliseconds; they are aborted after it.
    /// `None` to wait for all of them. If the timeout is set, new connections are also accepted while older ones have
    /// requests in flight.
    pub cut_after_stop_ms: Option<u64>,
    /// Longest time after the stop of the server for which a connection may wait for its caller: for the rest of a head, for
    /// a late body, or until the caller reads. Then the connection is closed, so that the stop ends. In milliseconds; `None`
    /// for no limit.
    pub caller_wait_after_stop_ms: Option<u64>,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            headers_timeout_ms: 30_000,
            idle_timeout_ms: 30_000,
            headers_size_bytes: 64 * 1024,
            accept_after_stop_ms: 0,
            cut_after_stop_ms: None,
            caller_wait_after_stop_ms: None,
        }
    }
}
