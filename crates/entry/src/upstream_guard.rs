//! Request in flight at an upstream.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

/// Counts one request at an upstream for as long as it lives.
///
/// The count is released on drop and not by a `close` method, because a request also ends when its task is cancelled.
#[derive(Debug)]
pub(crate) struct UpstreamGuard {
    addr: SocketAddr,
    in_flight: Arc<AtomicU32>,
    heard_ms: Arc<AtomicU64>,
}

impl UpstreamGuard {
    pub fn new(addr: SocketAddr, in_flight: Arc<AtomicU32>, heard_ms: Arc<AtomicU64>) -> Self {
        in_flight.fetch_add(1, Ordering::Relaxed);
        Self { addr, in_flight, heard_ms }
    }

    /// Notes a request at `now_ms`. The wait for an idle upstream begins with it; one that is busy and silent stays
    /// silent.
    pub fn send(&self, now_ms: u64) {
        if self.in_flight.load(Ordering::Relaxed) == 1 {
            self.hear(now_ms);
        }
    }

    /// Notes that the upstream sent something at `now_ms`.
    pub fn hear(&self, now_ms: u64) {
        self.heard_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Address of the upstream.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
