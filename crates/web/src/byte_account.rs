//! Account of the bytes that a daemon keeps for connections and requests in flight.

use crate::held_bytes::HeldBytes;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};
use tokio::sync::Notify;

/// Largest size of an amount that may use the whole account.
const SMALL_BYTES: usize = 64 * 1024;

/// Part of the account that larger amounts may use, in percent. The rest keeps small requests going beside large ones.
const LARGE_PERCENT: usize = 75;

/// Sum of the bytes that are kept for all connections and requests in flight, with a limit.
///
/// An amount is held completely or not at all, so that holders of parts never wait for each other. Nothing takes a lock
/// unless an amount waits.
#[derive(Debug)]
pub struct ByteAccount {
    limit_bytes: usize,
    held_bytes: AtomicUsize,
    /// Sum of the amounts that wait.
    waiting_bytes: AtomicUsize,
    freed: Notify,
    shortage: Notify,
}

impl ByteAccount {
    /// Creates an account of at most `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            held_bytes: AtomicUsize::new(0),
            waiting_bytes: AtomicUsize::new(0),
            freed: Notify::new(),
            shortage: Notify::new(),
        }
    }

    /// Number of bytes that are held now.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::SeqCst)
    }

    /// Largest sum of all amounts.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Largest amount that can be held at all.
    pub fn largest_bytes(&self) -> usize {
        (self.limit_bytes / 100 * LARGE_PERCENT).max(self.limit_bytes.min(SMALL_BYTES))
    }

    /// Creates a holder of no bytes.
    pub fn hold_none(self: &Arc<Self>) -> HeldBytes {
        HeldBytes::new(Arc::clone(self), 0)
    }

    /// Holds `bytes`; `None` if there is no room for them now.
    pub fn try_hold(self: &Arc<Self>, bytes: usize) -> Option<HeldBytes> {
        self.add(0, bytes).then(|| HeldBytes::new(Arc::clone(self), bytes))
    }

    /// Holds `bytes` as soon as there is room for them, which is never if they exceed `largest_bytes`. Dropping the
    /// future ends the wait.
    pub async fn hold(self: &Arc<Self>, bytes: usize) -> HeldBytes {
        if let Some(held) = self.try_hold(bytes) {
            return held;
        }
        let _waiting = Waiting::start(&self.waiting_bytes, bytes);
        self.shortage.notify_one();
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            // Bytes that are freed from here on are not missed.
            freed.as_mut().enable();
            if let Some(held) = self.try_hold(bytes) {
                return held;
            }
            freed.await;
        }
    }

    /// Waits until an amount has found no room.
    pub(crate) async fn shortage(&self) {
        self.shortage.notified().await;
    }

    /// Sum of the amounts that wait now.
    pub(crate) fn waiting_bytes(&self) -> usize {
        self.waiting_bytes.load(Ordering::SeqCst)
    }

    /// Replaces a held amount of `old_bytes` by a larger one of `new_bytes`. Returns `false`, without a change, if there
    /// is no room for it.
    pub(crate) fn add(&self, old_bytes: usize, new_bytes: usize) -> bool {
        let limit_bytes = match new_bytes <= SMALL_BYTES {
            true => self.limit_bytes,
            false => self.largest_bytes(),
        };
        let more_bytes = new_bytes - old_bytes;
        let update = |held: usize| held.checked_add(more_bytes).filter(|&sum| sum <= limit_bytes);
        more_bytes == 0
            || self.held_bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, update).is_ok()
    }

    /// Adds `bytes` to a held amount, also beyond the limit.
    pub(crate) fn add_beyond_limit(&self, bytes: usize) {
        self.held_bytes.fetch_add(bytes, Ordering::SeqCst);
    }

    /// Frees `bytes` of a held amount.
    pub(crate) fn free(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.held_bytes.fetch_sub(bytes, Ordering::SeqCst);
        if self.waiting_bytes() > 0 {
            self.freed.notify_waiters();
        }
    }
}

/// Counts an amount as waiting until it is dropped.
struct Waiting<'a>(&'a AtomicUsize, usize);

impl<'a> Waiting<'a> {
    fn start(waiting_bytes: &'a AtomicUsize, bytes: usize) -> Self {
        waiting_bytes.fetch_add(bytes, Ordering::SeqCst);
        Self(waiting_bytes, bytes)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::SeqCst);
    }
}
