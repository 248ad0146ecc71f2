//! List of VMs.

use base::{DomainName, ServiceName, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What runs on a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A model engine.
    Engine,
    /// A daemon.
    Entry,
    /// A plain service.
    Service,
}

/// State of a VM as the platform last saw it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It takes work.
    Live,
    /// It is about to go and must get no new work.
    Leaving,
}

/// One VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Identifier.
    pub id: VmId,
    /// What runs on it.
    pub role: VmRole,
    /// Service that it belongs to; none for entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// Failure domain.
    pub domain: DomainName,
    /// Address of its HTTP server.
    pub addr: SocketAddr,
    /// Address for other daemons; entries only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_addr: Option<SocketAddr>,
    /// State.
    pub state: VmState,
}

/// Answer to `GET /vms`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Known VMs.
    pub vms: Vec<Vm>,
}
