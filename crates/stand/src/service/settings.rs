//! Settings of the plain service stand-in.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};

/// Settings of one instance.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name of the service.
    pub name: String,
    /// File that all runs are appended to.
    pub ledger: Option<PathBuf>,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: "service".to_owned(),
            ledger: None,
        }
    }
}
