//! List of the VMs that the platform runs.

use base::{DomainName, ServiceName, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What runs on a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A model engine.
    Engine,
    /// A daemon of the serving system.
    Entry,
    /// An instance of a plain service.
    Service,
}

/// State of a VM as last observed by the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM accepts work.
    Live,
    /// The VM is about to be removed and must get no new work.
    Leaving,
}

/// VM with its addresses and state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    pub id: VmId,
    /// What runs on the VM.
    pub role: VmRole,
    /// Service that the VM belongs to; absent for entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// Failure domain that the VM is in.
    pub domain: DomainName,
    /// Address of the HTTP server on the VM.
    pub addr: SocketAddr,
    /// Address for RPC from other daemons; present for entries only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_addr: Option<SocketAddr>,
    pub state: VmState,
}

/// Answer to `GET /vms`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// All VMs that the platform knows.
    pub vms: Vec<Vm>,
}
