//! Switches faults of a server's connections on and off, and tells each connection which of them affect it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::watch;

/// Active faults of the connections of one server.
///
/// Connections are numbered in the order in which they open, and a fault affects all connections whose number is below
/// a bound. If the bound is `next_number`, it covers the existing connections only; `u64::MAX` covers new ones as well.
#[derive(Debug)]
pub(crate) struct ConnectionFaults {
    next_number: AtomicU64,
    silent_below: AtomicU64,
    reset_below: watch::Sender<u64>,
    is_refusing: AtomicBool,
}

impl Default for ConnectionFaults {
    fn default() -> Self {
        Self {
            next_number: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
            reset_below: watch::Sender::new(0),
            is_refusing: AtomicBool::new(false),
        }
    }
}

impl ConnectionFaults {
    /// Assigns a number to a new connection and returns it.
    pub fn next_connection_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Resets all existing connections.
    pub fn reset_existing(&self) {
        self.reset_below.send_replace(self.next_number.load(Ordering::Relaxed));
    }

    /// Resets all existing connections and, until `restore`, new ones on their first request.
    pub fn refuse(&self) {
        self.is_refusing.store(true, Ordering::Relaxed);
        self.reset_existing();
    }

    /// Discards everything that is sent on the existing connections from now on.
    pub fn silence_existing(&self) {
        self.silent_below.fetch_max(self.next_number.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Discards everything that is sent on any connection, new ones included, until `restore`.
    pub fn silence_all(&self) {
        self.silent_below.store(u64::MAX, Ordering::Relaxed);
    }

    /// Ends `refuse` and `silence_all` for new connections. Existing silent connections stay silent, because they have
    /// lost bytes.
    pub fn restore(&self) {
        let next_number = self.next_number.load(Ordering::Relaxed);
        self.silent_below.fetch_min(next_number, Ordering::Relaxed);
        self.is_refusing.store(false, Ordering::Relaxed);
    }

    /// Returns whether everything that is sent on the connection `number` is discarded.
    pub fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::Relaxed)
    }

    /// Returns whether a fault requires a TCP reset of the connection `number`.
    pub fn is_reset(&self, number: u64) -> bool {
        number < *self.reset_below.borrow()
    }

    /// Returns whether requests are answered with a reset of their connection.
    pub fn is_refusing(&self) -> bool {
        self.is_refusing.load(Ordering::Relaxed)
    }

    /// Waits until a fault requires a TCP reset of the connection `number`.
    pub async fn wait_reset(&self, number: u64) {
        let _ = self.reset_below.subscribe().wait_for(|&bound| number < bound).await;
    }
}
