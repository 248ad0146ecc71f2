//! Replica of a run's KV cache at another engine.

use crate::{instance::Instance, instance_guards::InFlightGuard};
use std::{net::SocketAddr, sync::Arc};

/// Replica of a run's KV cache at another engine, from which the run can resume there without a new prefill.
#[derive(Debug)]
pub(crate) struct KvReplica {
    /// Engine that holds the replica.
    pub instance: Arc<Instance>,
    /// How the replica is created.
    pub origin: KvReplicaOrigin,
    /// When the replica was requested, on the daemon's clock.
    pub requested_ms: u64,
    _guard: InFlightGuard,
}

/// How a replica is created.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum KvReplicaOrigin {
    /// The engine of the run sends each change of the KV cache to the holder.
    Continuous,
    /// The engine of the run copied the KV cache once, on request.
    Snapshot {
        /// Address of the engine of the run.
        source: SocketAddr,
        /// Identifier that this engine returned for the snapshot.
        handle: Box<str>,
    },
}

impl KvReplica {
    /// Creates the record of a replica at `instance`, which counts there as a request in flight.
    pub fn new(instance: Arc<Instance>, origin: KvReplicaOrigin, requested_ms: u64) -> Self {
        let guard = InFlightGuard::new(Arc::clone(&instance));
        Self { instance, origin, requested_ms, _guard: guard }
    }

    /// Value of the header that refers to the replica. `request_id` identifies the request of the run.
    pub fn reference(&self, request_id: &str) -> String {
        match &self.origin {
            KvReplicaOrigin::Continuous => format!("{}/{request_id}", self.instance.entry.addr),
            KvReplicaOrigin::Snapshot { source, handle } => format!("{source}/{handle}"),
        }
    }
}
