//! Settings of the proxy.

use std::net::{Ipv4Addr, SocketAddr};

/// Settings of one proxy.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that connections are forwarded to.
    pub target: SocketAddr,
    /// Address of the HTTP control; `None` allows control in the process only.
    pub control: Option<SocketAddr>,
}

impl ProxySettings {
    /// Proxy of `target` at a free address, without HTTP control.
    pub fn new(target: SocketAddr) -> Self {
        Self { listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), target, control: None }
    }
}
