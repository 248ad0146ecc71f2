//! Section `[peer]` of the settings file: messages between daemons.

use crate::section::{Section, Source};
use std::net::SocketAddr;
use toml::de::DeTable;

/// Default timeout for an answer of a peer.
const DEFAULT_TIMEOUT_MS: u64 = 250;

/// Default time between two pings on a connection.
const DEFAULT_PING_INTERVAL_MS: u64 = 1_000;

/// Settings of the messages between daemons. Without the section, a daemon has no peers and serves without journal
/// replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Address on which the daemon accepts connections of peers.
    pub listen: SocketAddr,
    /// Address at which other daemons reach this daemon; `None` if they reach it at `listen`.
    pub advertise: Option<SocketAddr>,
    /// Timeout for connecting to a peer and for an answer of a peer.
    pub timeout_ms: u64,
    /// Time between two pings on a connection to a peer.
    pub ping_interval_ms: u64,
    /// Addresses of daemons to contact first, so that this daemon can start while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Pairs of an advertised address and the address to connect to in its place, where addresses are translated
    /// between failure domains.
    pub address_translations: Vec<(SocketAddr, SocketAddr)>,
}

impl PeerSettings {
    /// Reads the section. Returns `None` if it is absent or `listen` is missing or not valid.
    pub(crate) fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Option<Self> {
        if !root.contains_key("peer") {
            return None;
        }
        let mut section = Section::open("peer", root, source);
        let listen = section.required("listen", "IP address and port", source);
        let advertise = section.optional("advertise", "IP address and port", source);
        let timeout_ms = section.integer("timeout_ms", 10..=10_000, DEFAULT_TIMEOUT_MS, source);
        let ping_interval_ms =
            section.integer("ping_interval_ms", 50..=30_000, DEFAULT_PING_INTERVAL_MS, source);
        let seeds = section.list("seeds", "an array of IP addresses and ports", source);
        let translations = section.map("via", "IP address and port", source);
        let mut address_translations = Vec::new();
        for (from, to) in translations {
            match from.parse() {
                Ok(from) => address_translations.push((from, to)),
                Err(_) => {
                    section.reject("via", "a table from IP address and port to another", source)
                }
            }
        }
        section.close(source);
        Some(Self {
            listen: listen?,
            advertise,
            timeout_ms,
            ping_interval_ms,
            seeds,
            address_translations,
        })
    }
}
