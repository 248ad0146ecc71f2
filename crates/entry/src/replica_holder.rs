//! Daemon that can hold journal replicas.

use base::VmId;
use std::net::SocketAddr;

/// Daemon that can hold journal replicas, with the address of its server for peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ReplicaHolder {
    pub id: VmId,
    pub addr: SocketAddr,
}
