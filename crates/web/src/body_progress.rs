//! Progress of a request's body.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Progress of the body that a connection reads, which its task writes.
#[derive(Debug, Default)]
pub(crate) struct BodyProgress {
    /// Bytes that are held for the body; 0 if none is read.
    held_bytes: AtomicUsize,
    received_bytes: AtomicUsize,
    start_ms: AtomicU64,
    /// Time within which the body has to arrive.
    wait_ms: AtomicU64,
}

impl BodyProgress {
    /// Begins a body at `start_ms`.
    pub fn begin(&self, held_bytes: usize, wait_ms: u64, start_ms: u64) {
        self.received_bytes.store(0, Ordering::Relaxed);
        self.start_ms.store(start_ms, Ordering::Relaxed);
        self.wait_ms.store(wait_ms, Ordering::Relaxed);
        self.held_bytes.store(held_bytes, Ordering::Relaxed);
    }

    /// Counts bytes that have arrived.
    pub fn record(&self, bytes: usize) {
        self.received_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Ends the body.
    pub fn end(&self) {
        self.held_bytes.store(0, Ordering::Relaxed);
    }

    /// Bytes that are held for a body that is late at `now_ms`: at its pace so far, it will not be complete in its time.
    /// `None` for any other, and for one that began less than `min_age_ms` ago.
    pub fn late_bytes(&self, now_ms: u64, min_age_ms: u64) -> Option<usize> {
        let held_bytes = self.held_bytes.load(Ordering::Relaxed);
        let age_ms = now_ms.saturating_sub(self.start_ms.load(Ordering::Relaxed));
        let wait_ms = self.wait_ms.load(Ordering::Relaxed).max(1);
        let received_bytes = self.received_bytes.load(Ordering::Relaxed);
        let is_late =
            received_bytes as u128 * u128::from(wait_ms) < held_bytes as u128 * u128::from(age_ms);
        (held_bytes > 0 && age_ms >= min_age_ms && is_late).then_some(held_bytes)
    }
}
