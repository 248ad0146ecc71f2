//! Token bucket whose rate may change.

/// Length of the burst: with all entries it adds 5% to the rate over a window of 10 s.
const BURST_S: f64 = 0.5;

/// Token bucket.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    level: f64,
    refilled_at_ms: u64,
}

impl Bucket {
    /// A bucket that the first refill fills to the burst, as after a pause. A smaller level would reject the second of
    /// two requests that arrive within a millisecond, whatever the rate is.
    pub fn new(now_ms: u64) -> Self {
        Self { level: f64::INFINITY, refilled_at_ms: now_ms }
    }

    /// Adds what `rate_per_s` gave since the last call.
    pub fn refill(&mut self, rate_per_s: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = now_ms.max(self.refilled_at_ms);
        let burst = (rate_per_s * BURST_S).max(1.0);
        self.level = (self.level + rate_per_s * elapsed_ms as f64 / 1_000.0).min(burst);
    }

    /// Whether a request may pass. A cost above the burst passes at a full bucket and leaves a debt, since it could
    /// never pass otherwise.
    pub fn allows(&self, cost: f64) -> bool {
        self.level >= cost.min(1.0)
    }

    /// Charges a request.
    pub fn charge(&mut self, cost: f64) {
        self.level -= cost;
    }

    /// Time until a request may pass.
    pub fn wait_ms(&self, rate_per_s: f64) -> u64 {
        let missing = (1.0 - self.level).max(0.0);
        (missing / rate_per_s.max(0.001) * 1_000.0).min(60_000.0) as u64
    }
}
