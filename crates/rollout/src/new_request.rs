//! Request that is sent to an instance.

use crate::route_key::RouteKey;
use affinity::SoftwareVersion;
use base::ServiceName;
use std::sync::Arc;

/// Request that is sent to an instance.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Service of the request.
    pub service: ServiceName,
    /// Route of the request.
    pub route: RouteKey,
    /// Version of the instance.
    pub version: SoftwareVersion,
    /// Identifier of the instance.
    pub instance: Arc<str>,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Whether a stream goes on after earlier events, so that the time to its first event is not comparable.
    pub is_resumed: bool,
    /// Whether the instance is still slow after its start, so that the answer shows nothing of its version.
    pub is_cold: bool,
    /// Time in which the answer or the first event should arrive.
    pub target_latency_ms: u64,
}
