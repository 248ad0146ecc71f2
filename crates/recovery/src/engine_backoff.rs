//! Backoff for engines that failed an attempt.

/// Time for which an engine is avoided after its first failure.
const INITIAL_BACKOFF_MS: u64 = 1_000;

/// Longest time for which an engine is avoided.
const MAX_BACKOFF_MS: u64 = 8_000;

/// Time for which new attempts avoid an engine that failed an attempt.
///
/// Each further failure after the end of a backoff doubles the backoff, so that an engine that stays frozen delays few
/// attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineBackoff {
    avoided_until_ms: u64,
    backoff_ms: u64,
}

impl EngineBackoff {
    /// Creates the backoff for an engine that failed an attempt at `now_ms` for the first time.
    pub fn new(now_ms: u64) -> Self {
        Self {
            avoided_until_ms: now_ms.saturating_add(INITIAL_BACKOFF_MS),
            backoff_ms: INITIAL_BACKOFF_MS,
        }
    }

    /// Records another failure.
    ///
    /// Failures while the engine is avoided belong to attempts that started before, and change nothing.
    pub fn record_failure(&mut self, now_ms: u64) {
        if self.is_avoided(now_ms) {
            return;
        }
        self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
        self.avoided_until_ms = now_ms.saturating_add(self.backoff_ms);
    }

    /// Whether new attempts avoid the engine.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms
    }

    /// Whether the engine has been usable again for as long as it was avoided, so that its failures can be forgotten.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.avoided_until_ms.saturating_add(self.backoff_ms)
    }
}
