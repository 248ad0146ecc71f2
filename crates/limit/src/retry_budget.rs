//! Budget that keeps retries to a share of first tries.

/// Retries that a first try pays for.
const RATIO: f64 = 0.1;

/// Retries a second that are allowed without first tries, so that a quiet service can recover.
const MIN_PER_S: f64 = 1.0;

/// Largest balance: it bounds the burst of retries when many requests fail together.
const BALANCE_LIMIT: f64 = 100.0;

/// Retry budget of one service. Attempts that resume a generation are not charged here; `recovery` limits their rate.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: f64,
    refilled_at_ms: u64,
}

impl RetryBudget {
    /// A budget that holds the minimum of one second.
    pub fn new(now_ms: u64) -> Self {
        Self { balance: MIN_PER_S, refilled_at_ms: now_ms }
    }

    /// Counts a first try.
    pub fn first_try(&mut self) {
        self.balance = (self.balance + RATIO).min(BALANCE_LIMIT);
    }

    /// Whether a retry is allowed; if so, it is charged.
    pub fn try_retry(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = now_ms.max(self.refilled_at_ms);
        let refill = elapsed_ms as f64 / 1_000.0 * MIN_PER_S;
        // The minimum does not add up over quiet times.
        self.balance = self.balance.max((self.balance + refill).min(MIN_PER_S));
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
