//! Handle of one connection, for the handler of its requests.

use crate::net::switch::Switch;
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};
use tokio::sync::Notify;

/// Connection that a request came over; an extension of the request.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    number: u64,
    switch: Arc<Switch>,
    own: Arc<OwnState>,
}

#[derive(Debug, Default)]
struct OwnState {
    is_control: AtomicBool,
    is_reset: AtomicBool,
    changed: Notify,
}

impl Connection {
    /// Handle of a connection that has just opened.
    pub fn new(switch: Arc<Switch>) -> Self {
        Self { number: switch.open(), switch, own: Arc::default() }
    }

    /// Exempts the connection from all faults, since it carries the control of the faults.
    pub fn mark_control(&self) {
        self.own.is_control.store(true, Ordering::Relaxed);
    }

    /// Whether a request must be answered by a reset.
    pub fn is_refusing(&self) -> bool {
        self.switch.is_refusing()
    }

    /// Resets this connection; the future never completes.
    pub async fn reset<T>(&self) -> T {
        self.own.is_reset.store(true, Ordering::Relaxed);
        self.own.changed.notify_one();
        std::future::pending().await
    }

    /// Whether the connection sends nothing more.
    pub fn is_silent(&self) -> bool {
        self.switch.is_silent(self.number) && !self.is_control()
    }

    /// Whether the connection must end with a reset.
    pub fn is_reset(&self) -> bool {
        self.own.is_reset.load(Ordering::Relaxed)
            || (self.switch.is_reset(self.number) && !self.is_control())
    }

    /// Waits until the connection must be reset.
    pub async fn wait_reset(&self) {
        let switched = async {
            self.switch.wait_reset(self.number).await;
            if self.is_control() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = switched => {}
            () = self.own.changed.notified() => {}
        }
    }

    fn is_control(&self) -> bool {
        self.own.is_control.load(Ordering::Relaxed)
    }
}
