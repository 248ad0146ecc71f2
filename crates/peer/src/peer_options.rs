//! Settings of the connections between daemons.

/// Timeouts and intervals of the RPC between daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerOptions {
    /// Longest wait for a connection, and for the answer to a call on one connection, in milliseconds.
    pub timeout_ms: u64,
    /// Interval in milliseconds at which a link checks whether it is idle. If the link has carried journal calls
    /// (append, claim or fetch) recently, it also pings its peer.
    pub ping_interval_ms: u64,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self { timeout_ms: 250, ping_interval_ms: 1_000 }
    }
}
