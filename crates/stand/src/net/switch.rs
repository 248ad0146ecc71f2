//! Faults of all connections of a server.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::watch;

/// Decides by its number what a connection suffers. Connections are numbered in the order in which they open, so a bound
/// covers either the ones that exist or, with the largest number, new ones as well.
#[derive(Debug)]
pub(crate) struct Switch {
    next_number: AtomicU64,
    silent_below: AtomicU64,
    reset_below: watch::Sender<u64>,
    is_refusing: AtomicBool,
}

impl Default for Switch {
    fn default() -> Self {
        Self {
            next_number: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
            reset_below: watch::Sender::new(0),
            is_refusing: AtomicBool::new(false),
        }
    }
}

impl Switch {
    /// Number of a new connection.
    pub fn open(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Resets all connections that exist.
    pub fn reset(&self) {
        self.reset_below.send_replace(self.next_number.load(Ordering::Relaxed));
    }

    /// Resets all connections, and new ones at their first request until `restore`.
    pub fn refuse(&self) {
        self.is_refusing.store(true, Ordering::Relaxed);
        self.reset();
    }

    /// Sends nothing more on the connections that exist.
    pub fn silence(&self) {
        self.silent_below.fetch_max(self.next_number.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Sends nothing more on any connection, new ones included, until `restore`.
    pub fn silence_all(&self) {
        self.silent_below.store(u64::MAX, Ordering::Relaxed);
    }

    /// Lets new connections work. Silent ones stay silent, since bytes of theirs are lost.
    pub fn restore(&self) {
        let next_number = self.next_number.load(Ordering::Relaxed);
        self.silent_below.fetch_min(next_number, Ordering::Relaxed);
        self.is_refusing.store(false, Ordering::Relaxed);
    }

    /// Whether the connection sends nothing more.
    pub fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::Relaxed)
    }

    /// Whether the connection was reset.
    pub fn is_reset(&self, number: u64) -> bool {
        number < *self.reset_below.borrow()
    }

    /// Whether a request must be answered by a reset.
    pub fn is_refusing(&self) -> bool {
        self.is_refusing.load(Ordering::Relaxed)
    }

    /// Waits until the connection must be reset.
    pub async fn wait_reset(&self, number: u64) {
        let _ = self.reset_below.subscribe().wait_for(|&bound| number < bound).await;
    }
}
