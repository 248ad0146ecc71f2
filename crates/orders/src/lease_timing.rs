//! Durations of a lease.

/// Durations of a lease and of the orders under it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTiming {
    /// Time after a grant or keep-alive at which the platform ends the lease.
    pub ttl_ms: u64,
    /// How long before the lease can end the holder stops.
    pub safety_margin_ms: u64,
    /// Time between two keep-alives.
    pub keep_alive_interval_ms: u64,
    /// Longest time that an order is under way while its sender runs; a successor waits this long.
    pub order_timeout_ms: u64,
    /// Pause of a candidate before it looks again.
    pub retry_ms: u64,
}

impl LeaseTiming {
    /// Timing for a lease of `ttl_ms`. The margin is a third of it, so that a last order ends before the lease does and
    /// two keep-alives may fail.
    pub fn new(ttl_ms: u64, order_timeout_ms: u64, retry_ms: u64) -> Self {
        let safety_margin_ms = ttl_ms / 3;
        Self {
            ttl_ms,
            safety_margin_ms,
            keep_alive_interval_ms: ttl_ms / 6,
            order_timeout_ms: order_timeout_ms.min(safety_margin_ms),
            retry_ms,
        }
    }
}
