//! Parameters with which a proxy starts.

use std::net::{Ipv4Addr, SocketAddr};

/// Addresses of a proxy.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address that connections are forwarded to.
    pub target: SocketAddr,
    /// Address of the HTTP control interface; `None` allows faults only through `Proxy::inject_fault`.
    pub control: Option<SocketAddr>,
}

impl ProxySettings {
    /// Returns settings that forward a free loopback port to `target`, without the HTTP control interface.
    pub fn new(target: SocketAddr) -> Self {
        Self { listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), target, control: None }
    }
}
