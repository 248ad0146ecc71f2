//! Order of an operator to move a service to another software version.

use affinity::SoftwareVersion;
use base::ServiceName;

/// Order of an operator to move a service's traffic to the instances of another software version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// Service whose traffic is moved.
    pub service: ServiceName,
    /// Version that is to get the traffic.
    pub target: SoftwareVersion,
    /// Time limit, counted from the write of the order.
    pub duration_ms: u64,
}
