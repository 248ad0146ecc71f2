//! Token bucket whose rate may change between refills.

/// Burst size in seconds of the rate. The bursts of all entries together add 5% to the rate over a window of 10 s.
const BURST_S: f64 = 0.5;

/// Token bucket with a burst of `BURST_S`, but at least one unit. A unit is a request or a token of a model.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// Available units. The level is negative after a request that exceeded it.
    level: f64,
    refilled_at_ms: u64,
}

impl TokenBucket {
    /// Creates a bucket that is full after the first refill, as after a pause.
    ///
    /// A lower level would reject the second of two requests that arrive within a millisecond, whatever the rate is.
    pub fn new(now_ms: u64) -> Self {
        Self { level: f64::INFINITY, refilled_at_ms: now_ms }
    }

    /// Adds the units that have accrued at `rate_per_s` since the last refill.
    pub fn refill(&mut self, rate_per_s: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = now_ms.max(self.refilled_at_ms);
        let burst = (rate_per_s * BURST_S).max(1.0);
        self.level = (self.level + rate_per_s * elapsed_ms as f64 / 1_000.0).min(burst);
    }

    /// Returns whether a request of this cost may pass.
    ///
    /// A request that costs more than one unit needs a level of only one unit and may leave the level negative, since a
    /// cost above the burst could never pass otherwise.
    pub fn allows(&self, cost: f64) -> bool {
        self.level >= cost.min(1.0)
    }

    /// Removes the cost of a request that passes.
    pub fn charge(&mut self, cost: f64) {
        self.level -= cost;
    }

    /// Returns the time in milliseconds until a request may pass at `rate_per_s`, at most 60,000.
    pub fn wait_ms(&self, rate_per_s: f64) -> u64 {
        let missing_units = (1.0 - self.level).max(0.0);
        (missing_units / rate_per_s.max(0.001) * 1_000.0).min(60_000.0) as u64
    }
}
