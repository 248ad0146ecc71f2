//! Handle through which request handlers and the TCP stream learn the faults of a connection.

use crate::net::connection_faults::ConnectionFaults;
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};
use tokio::sync::Notify;

/// Handle to the connection that a request arrived on. It is stored as an extension of the request, so that the request
/// handler can reset the connection.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    number: u64,
    faults: Arc<ConnectionFaults>,
    state: Arc<ConnectionState>,
}

#[derive(Debug, Default)]
struct ConnectionState {
    is_control: AtomicBool,
    is_reset: AtomicBool,
    reset_requested: Notify,
}

impl Connection {
    /// Creates the handle of a new connection and assigns its number.
    pub fn new(faults: Arc<ConnectionFaults>) -> Self {
        Self { number: faults.next_connection_number(), faults, state: Arc::default() }
    }

    /// Exempts the connection from all faults, because it is used to control them.
    pub fn mark_control(&self) {
        self.state.is_control.store(true, Ordering::Relaxed);
    }

    /// Returns whether the server resets the connection of each request instead of responding.
    pub fn is_refusing(&self) -> bool {
        self.faults.is_refusing()
    }

    /// Resets this connection; the future never completes.
    pub async fn reset<T>(&self) -> T {
        self.state.is_reset.store(true, Ordering::Relaxed);
        self.state.reset_requested.notify_one();
        std::future::pending().await
    }

    /// Returns whether everything that is sent on the connection is discarded.
    pub fn is_silent(&self) -> bool {
        self.faults.is_silent(self.number) && !self.is_control()
    }

    /// Returns whether the connection must end with a TCP reset, requested by `reset` or by a fault.
    pub fn is_reset(&self) -> bool {
        self.state.is_reset.load(Ordering::Relaxed)
            || (self.faults.is_reset(self.number) && !self.is_control())
    }

    /// Waits until `reset` or a fault requires a reset of the connection.
    pub async fn wait_reset(&self) {
        let reset_by_fault = async {
            self.faults.wait_reset(self.number).await;
            if self.is_control() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = reset_by_fault => {}
            () = self.state.reset_requested.notified() => {}
        }
    }

    fn is_control(&self) -> bool {
        self.state.is_control.load(Ordering::Relaxed)
    }
}
