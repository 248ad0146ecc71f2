//! Estimated rate of the requests that callers send, whether or not they are admitted.

/// Time constant of the moving average. The shares of the entries follow a shift of demand within about three time
/// constants.
const TIME_CONSTANT_MS: f64 = 1_000.0;

/// Exponentially weighted moving average of a request rate.
#[derive(Clone, Debug)]
pub(crate) struct DemandRate {
    rate_per_s: f64,
    updated_at_ms: u64,
}

impl DemandRate {
    /// Creates an estimate of 0 requests per second.
    pub fn new(now_ms: u64) -> Self {
        Self { rate_per_s: 0.0, updated_at_ms: now_ms }
    }

    /// Counts a request, whether or not it is admitted.
    pub fn record_request(&mut self, now_ms: u64) {
        self.rate_per_s = self.rate_per_s(now_ms) + 1_000.0 / TIME_CONSTANT_MS;
        self.updated_at_ms = now_ms.max(self.updated_at_ms);
    }

    /// Returns the current rate in requests per second.
    pub fn rate_per_s(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.rate_per_s * (-age_ms / TIME_CONSTANT_MS).exp()
    }
}
