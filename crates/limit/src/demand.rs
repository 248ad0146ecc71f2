//! Rate of requests that callers offer.

/// Time constant of the average. Shares follow a shift of demand within about three times this.
const TIME_CONSTANT_MS: f64 = 1_000.0;

/// Exponentially weighted rate of events.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    rate_per_s: f64,
    updated_at_ms: u64,
}

impl Demand {
    pub fn new(now_ms: u64) -> Self {
        Self { rate_per_s: 0.0, updated_at_ms: now_ms }
    }

    /// Counts a request, admitted or not.
    pub fn count(&mut self, now_ms: u64) {
        self.rate_per_s = self.rate_per_s(now_ms) + 1_000.0 / TIME_CONSTANT_MS;
        self.updated_at_ms = now_ms.max(self.updated_at_ms);
    }

    /// Requests a second now.
    pub fn rate_per_s(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.rate_per_s * (-age_ms / TIME_CONSTANT_MS).exp()
    }
}
