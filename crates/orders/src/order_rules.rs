//! Parallelism of orders and interval of reads, depending on the checks of the upstreams.

use fleet::OrderChecks;

/// Maximum number of parallel orders if the upstreams check both the fencing token and the sender.
const CHECKED_PARALLEL_ORDERS: usize = 4;

/// Rules that depend on what the upstreams check. Upstreams that ignore the fencing token or don't authenticate the
/// sender get stricter rules, because the holder can detect a wrong order there only by reading their state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderRules {
    /// Maximum number of orders in flight. A paused holder leaves at most this many late orders.
    pub parallel_orders: usize,
    /// Interval of the reads of all engine states, in milliseconds.
    pub read_interval_ms: u64,
}

impl OrderRules {
    /// Creates the rules for upstreams that make the checks `checks`. `interval_ms` is the read interval of the
    /// stricter rules.
    pub fn new(checks: OrderChecks, interval_ms: u64) -> Self {
        if checks.checks_fencing_token && checks.checks_sender {
            Self { parallel_orders: CHECKED_PARALLEL_ORDERS, read_interval_ms: interval_ms * 2 }
        } else {
            Self { parallel_orders: 1, read_interval_ms: interval_ms }
        }
    }

    /// Returns the maximum time in milliseconds until the holder sends the order that corrects a late order of a
    /// predecessor: the wait for the next round, its reads, and the preceding orders.
    ///
    /// The bound holds if the holder can reach the engine and at most `wrong_engines` engines need an order. Loads for
    /// the correction are subject to the load pacing in addition.
    pub fn correction_bound_ms(&self, order_timeout_ms: u64, wrong_engines: usize) -> u64 {
        let batches = wrong_engines.div_ceil(self.parallel_orders) as u64;
        self.read_interval_ms + order_timeout_ms * (1 + batches)
    }
}
