//! Options of the messages between daemons.

/// Options of the messages between daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerOptions {
    /// Longest wait for a connection, and for the answer to a call on one connection.
    pub timeout_ms: u64,
    /// Time between two pings of a connection.
    pub ping_interval_ms: u64,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self { timeout_ms: 250, ping_interval_ms: 1_000 }
    }
}
