//! Parameters with which an instance of the fake plain service starts, and their defaults.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};

/// Settings of one instance of the service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Name of the service, which is part of each recorded execution.
    pub name: String,
    /// File that all executions are appended to; `None` keeps them in memory only.
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
