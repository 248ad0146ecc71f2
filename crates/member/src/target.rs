//! Receiver of a heartbeat.

use base::VmId;
use std::net::SocketAddr;

/// Receiver of a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Identifier; none for an address from the settings.
    pub id: Option<VmId>,
    /// Address.
    pub addr: SocketAddr,
}
