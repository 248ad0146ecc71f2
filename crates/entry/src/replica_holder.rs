//! Identifier and address of a daemon that can hold journal replicas.

use base::VmId;
use std::net::SocketAddr;

/// Another daemon, as a possible or chosen holder of the replica of a journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ReplicaHolder {
    pub id: VmId,
    /// Address of its server for peers.
    pub addr: SocketAddr,
}
