//! Copy of a run's memory at another engine.

use crate::{instance::Instance, lease::InstanceLease};
use std::{net::SocketAddr, sync::Arc};

/// Copy of a run's memory at another engine.
#[derive(Debug)]
pub(crate) struct KvReplica {
    /// The engine that has the copy.
    pub instance: Arc<Instance>,
    /// How the copy is made.
    pub origin: KvReplicaOrigin,
    /// When it was asked for, on the daemon's clock.
    pub since_ms: u64,
    _lease: InstanceLease,
}

/// How a copy is made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum KvReplicaOrigin {
    /// The engine of the run keeps it up to date by itself.
    Continuous,
    /// It was asked for once, at the engine at this address, which gave a handle.
    Snapshot {
        /// Engine of the run.
        source: SocketAddr,
        /// Name of the copy.
        handle: Box<str>,
    },
}

impl KvReplica {
    /// Copy at `instance`.
    pub fn new(instance: Arc<Instance>, origin: KvReplicaOrigin, since_ms: u64) -> Self {
        let lease = InstanceLease::new(Arc::clone(&instance));
        Self { instance, origin, since_ms, _lease: lease }
    }

    /// Text by which a request names the copy. `request_id` is the identifier of the run's request.
    pub fn reference(&self, request_id: &str) -> String {
        match &self.origin {
            KvReplicaOrigin::Continuous => format!("{}/{request_id}", self.instance.entry.addr),
            KvReplicaOrigin::Snapshot { source, handle } => format!("{source}/{handle}"),
        }
    }
}
