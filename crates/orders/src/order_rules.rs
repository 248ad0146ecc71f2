//! Rules for orders to the upstreams of a service.

use fleet::OrderChecks;

/// Orders under way at a time where the upstreams check token and sender.
const PARALLEL_CHECKED: usize = 4;

/// Rules that follow from what the upstreams check. Upstreams that ignore the fencing token or do not authenticate the
/// sender are treated by the stricter rules, because only reading back finds a wrong order there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderRules {
    /// Orders under way at a time; a paused holder leaves at most this many late orders behind.
    pub parallel_orders: usize,
    /// Time between two reads of all states.
    pub read_interval_ms: u64,
}

impl OrderRules {
    /// Rules for upstreams with `behaviour`. `interval_ms` is the read interval of the stricter rules.
    pub fn new(behaviour: OrderChecks, interval_ms: u64) -> Self {
        if behaviour.checks_fencing_token && behaviour.checks_sender {
            Self { parallel_orders: PARALLEL_CHECKED, read_interval_ms: interval_ms * 2 }
        } else {
            Self { parallel_orders: 1, read_interval_ms: interval_ms }
        }
    }

    /// Time within which the holder sends the order that corrects a late order of a predecessor, while the holder
    /// reaches the engine and at most `wrong_engines` engines need an order: the wait for the next round, its reads, and
    /// the orders before this one. Loads that the correction needs wait for the pacing as well.
    pub fn correction_bound_ms(&self, order_timeout_ms: u64, wrong_engines: usize) -> u64 {
        let batches = wrong_engines.div_ceil(self.parallel_orders) as u64;
        self.read_interval_ms + order_timeout_ms * (1 + batches)
    }
}
