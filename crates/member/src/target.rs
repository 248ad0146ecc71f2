//! Targets of heartbeats and probes.

use base::VmId;
use std::net::SocketAddr;

/// Daemon, or address of a possible daemon, that a heartbeat is sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Identifier of the daemon; `None` for an address from the settings.
    pub id: Option<VmId>,
    /// Address that the heartbeat is sent to.
    pub addr: SocketAddr,
}
