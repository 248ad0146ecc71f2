//! Section `[peer]`.

use crate::section::{Section, Source};
use std::net::SocketAddr;
use toml::de::DeTable;

/// Longest wait for an answer of a peer unless the settings say otherwise.
const DEFAULT_TIMEOUT_MS: u64 = 250;

/// Time between two pings of a connection unless the settings say otherwise.
const DEFAULT_PING_INTERVAL_MS: u64 = 1_000;

/// Messages between daemons. Without this section a daemon has no peers and serves without journal copies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Address of the server towards peers.
    pub listen: SocketAddr,
    /// Longest wait for a connection to a peer and for an answer on it.
    pub timeout_ms: u64,
    /// Time between two pings of a connection.
    pub ping_interval_ms: u64,
}

impl PeerSettings {
    /// Reads the section; `None` if it is absent or its address is not valid.
    pub(crate) fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Option<Self> {
        if !root.contains_key("peer") {
            return None;
        }
        let mut section = Section::open("peer", root, source);
        let listen = section.required("listen", "IP address and port", source);
        let timeout_ms = section.integer("timeout_ms", 10..=10_000, DEFAULT_TIMEOUT_MS, source);
        let ping_interval_ms =
            section.integer("ping_interval_ms", 50..=30_000, DEFAULT_PING_INTERVAL_MS, source);
        section.close(source);
        Some(Self { listen: listen?, timeout_ms, ping_interval_ms })
    }
}
