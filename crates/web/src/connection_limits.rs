//! Limits on the connections of a daemon, derived from the memory and the file descriptors of its VM.

use crate::connection_account::CONNECTIONS_PERCENT;

/// Size of each of the kernel's two buffers of a connection. In the receive buffer, the kernel holds bytes that the process
/// has not read; what is in the send buffer is what a caller that reads nothing gets before it counts as blocked. Half of
/// it is usable with small segments, which suffices for 55 Mbit/s at a round trip of 3 ms.
pub(crate) const SOCKET_BUFFER_BYTES: usize = 32 * 1024;

/// What a connection costs beside its kernel buffers: its task, the socket and the read buffer of 8 KiB of the HTTP
/// library. An idle connection of a debug build was measured at 18 kB.
pub(crate) const CONNECTION_BYTES: usize = 16 * 1024;

/// What a request in flight costs beside its body and its answer: the two kernel buffers of the connection to an upstream,
/// in which the request and the rest of an unread answer wait. The task and the buffers of the HTTP library are smaller.
pub(crate) const REQUEST_BYTES: usize = 2 * SOCKET_BUFFER_BYTES;

/// Part of the memory that is for the account of bytes, as a divisor. The rest is for the daemon itself, unread bytes in
/// receive buffers and allocations that are freed late.
const ACCOUNT_DIVISOR: usize = 2;

/// Number of descriptors that are for files.
const FILES: usize = 200;

/// Part of the descriptors without those for files that connections of callers may use, in percent. A request in flight
/// needs a connection to an upstream, and now and then a second one.
const CALLERS_PERCENT: usize = 40;

/// Part of the descriptors without those for files that readers of the relay may use, in percent.
const RELAY_PERCENT: usize = 10;

/// Largest number of connections to a port for probes or metrics.
const MAX_PROBES: usize = 64;

/// Smallest number of connections to each port, whatever the limits of the VM.
const MIN_CONNECTIONS: usize = 16;

/// Limits on the connections of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Largest number of bytes that are held for connections and requests in flight.
    pub account_bytes: usize,
    /// Largest number of connections to the port for callers.
    pub callers: usize,
    /// Largest number of connections to the relay.
    pub relay: usize,
    /// Largest number of connections to each port for probes, metrics or operators.
    pub probes: usize,
}

impl ConnectionLimits {
    /// Derives the limits from the memory and the file descriptors of a VM.
    pub fn for_vm(memory_bytes: usize, file_descriptors: usize) -> Self {
        let account_bytes = memory_bytes / ACCOUNT_DIVISOR;
        let descriptors = file_descriptors.saturating_sub(FILES);
        let by_memory =
            account_bytes * CONNECTIONS_PERCENT / 100 / (CONNECTION_BYTES + SOCKET_BUFFER_BYTES);
        let callers = by_memory.min(descriptors * CALLERS_PERCENT / 100);
        let relay = (callers / 2).min(descriptors * RELAY_PERCENT / 100);
        Self {
            account_bytes,
            callers: callers.max(MIN_CONNECTIONS),
            relay: relay.max(MIN_CONNECTIONS),
            probes: MAX_PROBES.min(callers / 4).max(MIN_CONNECTIONS),
        }
    }
}
