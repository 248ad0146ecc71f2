//! Daemon that keeps a journal copy.

use base::VmId;
use std::net::SocketAddr;

/// Daemon that keeps a journal copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ReplicaHolder {
    pub id: VmId,
    pub addr: SocketAddr,
}
