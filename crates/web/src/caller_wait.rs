//! Limit on the time for which a connection waits for its caller after the stop of the server.

use crate::{connection_use::ConnectionUse, server_limits::ServerLimits};
use std::time::Duration;
use tokio::{sync::watch, time::Instant};

/// Time between two looks at the connection. A caller that reads slowly makes the connection wait at most of them.
const INTERVAL: Duration = Duration::from_millis(25);

/// Shortest limit in milliseconds, as long as a connection is blocked before it counts as one whose caller does not read.
const MIN_LIMIT_MS: u64 = 200;

/// Waits until the connection has waited for its caller for the time that `limits` set, counted from the stop. The waits add
/// up, so that a caller that reads a few bytes now and then does not keep the stop from ending. Returns the sum in
/// milliseconds; never returns without a limit.
pub(crate) async fn caller_wait_exceeded(
    state: &ConnectionUse,
    limits: &watch::Receiver<ServerLimits>,
) -> u64 {
    let Some(limit_ms) = limits.borrow().caller_wait_after_stop_ms else {
        return std::future::pending().await;
    };
    let mut waited = Duration::ZERO;
    let mut last = Instant::now();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let now = Instant::now();
        if state.waits_for_caller() {
            waited += now - last;
        }
        last = now;
        if waited.as_millis() as u64 >= limit_ms.max(MIN_LIMIT_MS) {
            return waited.as_millis() as u64;
        }
    }
}
