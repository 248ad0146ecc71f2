//! Section `[admin]` of the settings file: the server for operators.

use crate::section::{Section, Source};
use base::KeyHash;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use toml::de::DeTable;

/// Default address of the server for operators.
const DEFAULT_LISTEN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8081);

/// Settings of the server for operators. Without the section, the daemon starts no such server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminSettings {
    /// Address on which the server accepts connections of operators.
    pub listen: SocketAddr,
    /// Hash of a key that is accepted in addition to the operators' keys in the configuration; `None` if there is no
    /// such key.
    pub bootstrap_key_hash: Option<KeyHash>,
}

impl Default for AdminSettings {
    fn default() -> Self {
        Self { listen: DEFAULT_LISTEN, bootstrap_key_hash: None }
    }
}

impl AdminSettings {
    /// Reads the section. Returns `None` if it is absent.
    pub(crate) fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Option<Self> {
        if !root.contains_key("admin") {
            return None;
        }
        let default = Self::default();
        let mut section = Section::open("admin", root, source);
        let listen = section.parsed("listen", "IP address and port", default.listen, source);
        let digits = "64 lower-case hexadecimal digits";
        let bootstrap_key_hash = section.optional("bootstrap_key_hash", digits, source);
        section.close(source);
        Some(Self { listen, bootstrap_key_hash })
    }
}
