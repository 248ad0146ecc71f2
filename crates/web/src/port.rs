//! Part of a daemon's connections that belongs to one server.

use crate::{search_pause::SearchPause, server_limits::ServerLimits};
use std::sync::{Arc, atomic::AtomicUsize};
use tokio::sync::watch;

/// Part of the idle timeout, in percent, within which an idle connection of a caller is never closed for another one.
const KEPT_IDLE_PERCENT: u64 = 80;

/// Shortest age in milliseconds at which a caller's connection without a complete request may be closed for another one.
/// The head of a request arrives within this time unless its caller is slow.
const MIN_AGE_MS: u64 = 250;

/// Server's part of the connections.
#[derive(Debug)]
pub(crate) struct Port {
    pub max_connections: usize,
    /// Whether the port is for probes, metrics or other daemons. Their clients can open a new connection at any time, so
    /// idle connections give way to new ones at any age.
    pub is_internal: bool,
    /// Number of open connections.
    pub open: AtomicUsize,
    /// Pause between searches for connections of this port.
    pub search_pause: SearchPause,
    limits: watch::Receiver<ServerLimits>,
}

impl Port {
    pub fn new(
        max_connections: usize,
        is_internal: bool,
        limits: watch::Receiver<ServerLimits>,
    ) -> Arc<Self> {
        Arc::new(Self {
            max_connections,
            is_internal,
            open: AtomicUsize::new(0),
            search_pause: SearchPause::default(),
            limits,
        })
    }

    /// Time in milliseconds for which an idle connection is not closed for another one.
    pub fn kept_idle_ms(&self) -> u64 {
        match self.is_internal {
            true => 0,
            false => self.limits.borrow().idle_timeout_ms * KEPT_IDLE_PERCENT / 100,
        }
    }

    /// Age in milliseconds from which a connection without a complete request may be closed for another one.
    pub fn min_age_ms(&self) -> u64 {
        if self.is_internal { 0 } else { MIN_AGE_MS }
    }
}
