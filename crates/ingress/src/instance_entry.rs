//! What the platform says of an instance.

use base::{DomainName, ServiceName};
use std::{net::SocketAddr, sync::Arc};

/// Identifier of an instance.
pub type InstanceId = Arc<str>;

/// Entry of an instance in the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceEntry {
    /// Identifier.
    pub id: InstanceId,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address that it serves on.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests that it serves at a time.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub is_draining: bool,
    /// Unix time of its start; none if it does not say.
    pub started_unix_ms: Option<u64>,
}
