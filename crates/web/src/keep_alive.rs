//! Detection of connections that went silent.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// Idle time before the first probe.
const PROBE_AFTER_MS: u64 = 15_000;

/// Time between two probes.
const PROBE_INTERVAL_MS: u64 = 5_000;

/// Unanswered probes after which the connection fails.
const PROBES: u32 = 3;

/// Longest time that written data may stay unacknowledged. Probes are not sent while data is outstanding.
const UNACKNOWLEDGED_MS: u64 = 30_000;

/// Idle time before the first probe, and between two, of a connection that a long wait depends on.
const SHORT_PROBE_MS: u64 = 1_000;

/// Unanswered probes after which such a connection fails.
const SHORT_PROBES: u32 = 2;

/// Lets the kernel close a connection within about three seconds after its peer has gone without notice.
pub fn probe_often(stream: &TcpStream) {
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_millis(SHORT_PROBE_MS))
        .with_interval(Duration::from_millis(SHORT_PROBE_MS))
        .with_retries(SHORT_PROBES);
    let socket = SockRef::from(stream);
    let limit = Duration::from_millis(SHORT_PROBE_MS * u64::from(SHORT_PROBES + 1));
    // Without these options the waits of the application still apply.
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(limit));
}

/// Lets the kernel close a connection whose peer has gone without notice.
pub fn keep_alive(stream: &TcpStream) {
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_millis(PROBE_AFTER_MS))
        .with_interval(Duration::from_millis(PROBE_INTERVAL_MS))
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    // Without these options the waits of the application still apply.
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(Duration::from_millis(UNACKNOWLEDGED_MS)));
}
