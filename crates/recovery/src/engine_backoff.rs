//! Engine that new attempts avoid.

/// Time for which an engine is avoided after its first failure.
const FIRST_MS: u64 = 1_000;

/// Longest time for which an engine is avoided.
const LONGEST_MS: u64 = 8_000;

/// Engine that failed an attempt. Each failure soon after the last time doubles the time for which it is avoided, so
/// that an engine that stays frozen delays few attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineBackoff {
    until_ms: u64,
    length_ms: u64,
}

impl EngineBackoff {
    /// Engine that failed an attempt at `now_ms` for the first time.
    pub fn new(now_ms: u64) -> Self {
        Self { until_ms: now_ms.saturating_add(FIRST_MS), length_ms: FIRST_MS }
    }

    /// Notes another failure. Failures while the engine is avoided belong to attempts from before and change nothing.
    pub fn record_failure(&mut self, now_ms: u64) {
        if self.is_avoided(now_ms) {
            return;
        }
        self.length_ms = (self.length_ms * 2).min(LONGEST_MS);
        self.until_ms = now_ms.saturating_add(self.length_ms);
    }

    /// Whether new attempts avoid the engine.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Whether the failures are so long ago that they are forgotten.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms.saturating_add(self.length_ms)
    }
}
