//! Age of an order.

/// Age of an order. The store does not hold the time of a write, so the largest age that any daemon knows counts.
#[derive(Debug)]
pub(crate) struct OrderAge {
    /// When this daemon read the order.
    pub seen_ms: u64,
    /// Age of the order at that time.
    first_ms: u64,
    duration_ms: u64,
}

impl OrderAge {
    /// Creates the age of an order of the given duration that was read a moment ago.
    pub fn new(duration_ms: u64, now_ms: u64) -> Self {
        Self { seen_ms: now_ms, first_ms: 0, duration_ms }
    }

    /// Age of the order.
    pub fn get(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.seen_ms) + self.first_ms
    }

    /// Age as a part of the order's duration.
    pub fn part(&self, now_ms: u64) -> f64 {
        self.get(now_ms) as f64 / self.duration_ms.max(1) as f64
    }

    /// Whether the time limit of the order has passed.
    pub fn is_over(&self, now_ms: u64) -> bool {
        self.get(now_ms) > self.duration_ms
    }

    /// Takes over the age that another daemon knows, if that is larger.
    pub fn learn(&mut self, age_ms: u64, now_ms: u64) {
        let own_ms = now_ms.saturating_sub(self.seen_ms);
        // A larger age than that is an error, and must not end the rollout at once everywhere.
        let age_ms = age_ms.min(self.duration_ms.saturating_mul(2));
        self.first_ms = self.first_ms.max(age_ms.saturating_sub(own_ms));
    }
}
