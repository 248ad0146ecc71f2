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
pub fn enable_fast_tcp_keepalive(stream: &TcpStream) {
    let unacknowledged_ms = SHORT_PROBE_MS * u64::from(SHORT_PROBES + 1);
    set_keepalive(stream, SHORT_PROBE_MS, SHORT_PROBE_MS, SHORT_PROBES, unacknowledged_ms);
}

/// Lets the kernel close a connection whose peer has gone without notice.
pub fn enable_tcp_keepalive(stream: &TcpStream) {
    set_keepalive(stream, PROBE_AFTER_MS, PROBE_INTERVAL_MS, PROBES, UNACKNOWLEDGED_MS);
}

fn set_keepalive(
    stream: &TcpStream,
    after_ms: u64,
    interval_ms: u64,
    probes: u32,
    unacknowledged_ms: u64,
) {
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_millis(after_ms))
        .with_interval(Duration::from_millis(interval_ms))
        .with_retries(probes);
    let socket = SockRef::from(stream);
    // Without these options the waits of the application still apply.
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(Duration::from_millis(unacknowledged_ms)));
}
