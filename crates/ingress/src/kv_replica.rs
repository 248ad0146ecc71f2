//! Record of a KV cache replica, which an engine holds for a request that runs at another engine.

use crate::{instance::Instance, instance_guards::InFlightGuard};
use std::{net::SocketAddr, sync::Arc};

/// Replica of a running request's KV cache. The engine that holds the replica can resume the request without a new
/// prefill.
#[derive(Clone, Debug)]
pub(crate) struct KvReplica {
    /// Engine that holds the replica.
    pub instance: Arc<Instance>,
    /// Whether the replica is continuous or a snapshot.
    pub origin: KvReplicaOrigin,
    /// When the replica was requested, on the daemon's clock.
    pub requested_ms: u64,
    _guard: InFlightGuard,
}

/// How a replica was created.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum KvReplicaOrigin {
    /// Another request of the same stream created the replica, which the holder knows by this reference.
    Recorded(Box<str>),
    /// The engine that runs the request sends each change of the KV cache to the engine that holds the replica.
    Continuous,
    /// The engine that runs the request copied the KV cache once, when the daemon asked it to.
    Snapshot {
        /// Address of the engine that runs the request.
        source: SocketAddr,
        /// Identifier of the snapshot that the engine at `source` returned.
        handle: Box<str>,
    },
}

impl KvReplica {
    /// Creates the record of a replica at the engine `instance`. The replica counts as a request in flight there.
    pub fn new(instance: Arc<Instance>, origin: KvReplicaOrigin, requested_ms: u64) -> Self {
        let guard = InFlightGuard::new(Arc::clone(&instance));
        Self { instance, origin, requested_ms, _guard: guard }
    }

    /// Value of the header by which an engine is asked to resume from the replica. `request_id` identifies the running
    /// request.
    pub fn reference(&self, request_id: &str) -> String {
        match &self.origin {
            KvReplicaOrigin::Recorded(reference) => reference.to_string(),
            KvReplicaOrigin::Continuous => format!("{}/{request_id}", self.instance.entry.addr),
            KvReplicaOrigin::Snapshot { source, handle } => format!("{source}/{handle}"),
        }
    }
}
