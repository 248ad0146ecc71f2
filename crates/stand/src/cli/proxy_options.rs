//! Command-line options of the proxy.

use crate::proxy::{Proxy, ProxySettings};
use argh::{FromArgs, TopLevelCommand};
use std::{
    io::Result as IoResult,
    net::{Ipv4Addr, SocketAddr},
};

/// Fault-injecting TCP proxy.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct ProxyOptions {
    /// address to listen on
    #[argh(option)]
    pub listen: SocketAddr,
    /// address to forward to
    #[argh(option)]
    pub target: SocketAddr,
    /// address of the HTTP control; a free one by default
    #[argh(option, default = "SocketAddr::from((Ipv4Addr::LOCALHOST, 0))")]
    pub control: SocketAddr,
}

impl TopLevelCommand for ProxyOptions {}

impl ProxyOptions {
    /// Starts the proxy and forwards connections until the process is terminated.
    ///
    /// # Errors
    ///
    /// Returns the error of `bind`.
    pub async fn run(&self) -> IoResult<()> {
        let settings =
            ProxySettings { listen: self.listen, target: self.target, control: Some(self.control) };
        let proxy = Proxy::start(settings).await?;
        let control = proxy.control_addr().unwrap_or(self.control);
        println!("ready addr={} control={control}", proxy.addr());
        std::future::pending().await
    }
}
