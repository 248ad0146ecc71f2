//! Limit on searches for connections that may be closed.

use std::sync::atomic::{AtomicU64, Ordering};

/// Time in milliseconds after a search that found nothing in which there is no other one. A search looks at all connections;
/// without this pause, each write of each connection would begin one while the account is full.
const PAUSE_MS: u64 = 20;

/// Pause after a search that found nothing.
#[derive(Debug, Default)]
pub(crate) struct SearchPause {
    end_ms: AtomicU64,
}

impl SearchPause {
    /// Whether a search may begin at `now_ms`.
    pub fn is_over(&self, now_ms: u64) -> bool {
        now_ms >= self.end_ms.load(Ordering::Relaxed)
    }

    /// Begins a pause at `now_ms`, after a search that found nothing.
    pub fn begin(&self, now_ms: u64) {
        self.end_ms.store(now_ms + PAUSE_MS, Ordering::Relaxed);
    }
}
