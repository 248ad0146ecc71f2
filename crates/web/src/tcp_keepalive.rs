//! TCP keep-alive settings, which detect connections whose peer was lost.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// Idle time of a connection before the kernel sends the first keep-alive probe, in milliseconds.
const FIRST_PROBE_MS: u64 = 15_000;

/// Time between two keep-alive probes, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 5_000;

/// Unanswered probes after which the connection fails.
const UNANSWERED_PROBES: u32 = 3;

/// Longest time that written data may stay unacknowledged, in milliseconds. The kernel sends no probes while data is
/// outstanding.
const MAX_UNACKNOWLEDGED_MS: u64 = 30_000;

/// Idle time before the first probe and time between two probes with the fast settings, in milliseconds.
const FAST_PROBE_INTERVAL_MS: u64 = 1_000;

/// Unanswered probes after which the connection fails with the fast settings.
const FAST_UNANSWERED_PROBES: u32 = 2;

/// Makes the kernel close a connection within about three seconds after its peer was lost without closing it.
pub fn enable_fast_tcp_keepalive(stream: &TcpStream) {
    let unacknowledged_ms = FAST_PROBE_INTERVAL_MS * u64::from(FAST_UNANSWERED_PROBES + 1);
    set_keepalive(
        stream,
        FAST_PROBE_INTERVAL_MS,
        FAST_PROBE_INTERVAL_MS,
        FAST_UNANSWERED_PROBES,
        unacknowledged_ms,
    );
}

/// Makes the kernel close a connection within about 30 seconds after its peer was lost without closing it.
pub fn enable_tcp_keepalive(stream: &TcpStream) {
    set_keepalive(
        stream,
        FIRST_PROBE_MS,
        PROBE_INTERVAL_MS,
        UNANSWERED_PROBES,
        MAX_UNACKNOWLEDGED_MS,
    );
}

fn set_keepalive(
    stream: &TcpStream,
    first_probe_ms: u64,
    interval_ms: u64,
    probes: u32,
    unacknowledged_ms: u64,
) {
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_millis(first_probe_ms))
        .with_interval(Duration::from_millis(interval_ms))
        .with_retries(probes);
    let socket = SockRef::from(stream);
    // Errors of these socket options are ignored, because the timeouts of the application apply without them as well.
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(Duration::from_millis(unacknowledged_ms)));
}
