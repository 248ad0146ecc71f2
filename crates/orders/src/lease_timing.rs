//! Timing of the lease that entitles a daemon to send orders.

/// Durations of a lease and of the orders that its holder sends, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTiming {
    /// Time to live of the lease at the platform after a grant or keep-alive.
    pub ttl_ms: u64,
    /// How long before the earliest expiry of the lease the holder stops using it.
    pub safety_margin_ms: u64,
    /// Interval of keep-alives.
    pub keep_alive_interval_ms: u64,
    /// Maximum time that an order is in flight unless its sender is paused. A new holder waits this long before its
    /// first order.
    pub order_timeout_ms: u64,
    /// Pause of a candidate before it tries again to become the holder.
    pub retry_ms: u64,
}

impl LeaseTiming {
    /// Derives the durations of a lease with a time to live of `ttl_ms`. The safety margin is a third of it, so that
    /// the last order ends before the lease does and two keep-alives may fail.
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
