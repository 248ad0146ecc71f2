//! Settings of the platform stand-in.

use std::net::{Ipv4Addr, SocketAddr};

/// Settings of the platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self { listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)) }
    }
}
