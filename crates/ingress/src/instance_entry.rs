//! Registry entry of an instance.

use affinity::SoftwareVersion;
use base::{DomainName, ServiceName};
use std::{net::SocketAddr, sync::Arc};

/// Identifier of an instance, which is the last part of its key in the platform's store.
pub type InstanceId = Arc<str>;

/// What the platform's store states about one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceEntry {
    /// Identifier, unique among the instances of all services.
    pub id: InstanceId,
    /// Service that the instance belongs to.
    pub service: ServiceName,
    /// Address at which the instance accepts connections.
    pub addr: SocketAddr,
    /// Failure domain that the instance runs in.
    pub domain: DomainName,
    /// Version of the software that the instance runs.
    pub software_version: SoftwareVersion,
    /// Number of requests that the instance serves concurrently.
    pub slots: u32,
    /// Whether the instance is shutting down and takes no new requests.
    pub is_draining: bool,
    /// Unix time at which the instance started, in milliseconds; `None` if the entry does not state it.
    pub started_unix_ms: Option<u64>,
    /// How much longer the instance was slow after its start when the entry was written; 0 if it was not.
    pub cold_remaining_ms: u64,
}
