//! Reuse of the connections to an instance.

use crate::instance_connection::InstanceConnection;
use base::lock;
use std::sync::{Mutex, MutexGuard};

/// Largest number of idle connections that are kept for each instance.
const MAX_IDLE: usize = 4;

/// Time for which an idle connection is reused if the instance does not state its keep-alive timeout.
const DEFAULT_KEEP_ALIVE_MS: u64 = 4_000;

/// Time by which a connection is dropped before the stated keep-alive timeout, so that the instance does not close it
/// while a request is on the way.
const KEEP_ALIVE_MARGIN_MS: u64 = 800;

/// Pool of idle connections to one instance. The connection that was used last is reused first.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connection: InstanceConnection,
    /// Time on the daemon's clock from which the connection is not reused.
    expires_ms: u64,
}

impl ConnectionPool {
    /// Removes and returns the connection that was used last; `None` if no open connection is left.
    pub fn take(&self, now_ms: u64) -> Option<InstanceConnection> {
        self.take_last(now_ms, |_| true)
    }

    /// Like `take`, for connections of the process of the registry entry only.
    pub fn take_verified(&self, now_ms: u64) -> Option<InstanceConnection> {
        self.take_last(now_ms, |connection| connection.is_verified)
    }

    fn take_last(
        &self,
        now_ms: u64,
        is_usable: impl Fn(&InstanceConnection) -> bool,
    ) -> Option<InstanceConnection> {
        let mut idle = self.idle();
        idle.retain(|pooled| pooled.expires_ms > now_ms && pooled.connection.connection.is_idle());
        let position = idle.iter().rposition(|pooled| is_usable(&pooled.connection))?;
        Some(idle.remove(position).connection)
    }

    /// Adds a connection whose last exchange has ended, unless the pool is full. `keep_alive_s` is the keep-alive
    /// timeout that the instance states, 0 if it closes the connection.
    pub fn put(&self, connection: InstanceConnection, keep_alive_s: Option<u64>, now_ms: u64) {
        let idle_ms = match keep_alive_s {
            Some(seconds) => (seconds * 1_000).saturating_sub(KEEP_ALIVE_MARGIN_MS),
            None => DEFAULT_KEEP_ALIVE_MS,
        };
        if idle_ms == 0 {
            return;
        }
        let mut idle = self.idle();
        idle.retain(|pooled| pooled.expires_ms > now_ms);
        if idle.len() < MAX_IDLE {
            let connection = InstanceConnection { is_reused: true, ..connection };
            idle.push(Idle { connection, expires_ms: now_ms + idle_ms });
        }
    }

    /// Closes all idle connections. Those in use are not affected.
    pub fn clear(&self) {
        self.idle().clear();
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        lock(&self.idle)
    }
}
