//! The platform's list of VMs, with the role, failure domain, addresses and state of each VM.

use base::{DomainName, ServiceName, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What runs on a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A model engine.
    Engine,
    /// An entry: a daemon of the serving system, which callers send their requests to.
    Entry,
    /// An instance of a plain service, which answers calls and is not a model engine.
    Service,
}

/// State of a VM as last observed by the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM accepts work.
    Live,
    /// The VM will be removed soon and must get no new work. The serving system drains such an upstream: it sends no
    /// new requests there and lets the running ones finish.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    pub id: VmId,
    /// What runs on the VM.
    pub role: VmRole,
    /// Service that the engine or instance on the VM belongs to; absent for entries.
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

/// Response to `GET /vms`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// All VMs that the platform knows.
    pub vms: Vec<Vm>,
}
