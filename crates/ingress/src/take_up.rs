//! What a daemon finds out of a stream that a caller takes up.

use crate::{
    core::Core,
    inbound::Inbound,
    kv_replica::{KvReplica, KvReplicaOrigin},
};
use affinity::{ReplicaRecord, StreamVersion, TakeUpError};
use std::sync::Arc;

/// How a stream goes on that a caller takes up.
#[derive(Debug)]
pub(crate) struct TakeUp {
    /// Software version at which the stream goes on.
    pub version: StreamVersion,
    /// Number of times that the stream was taken up, including this one.
    pub take_ups: u32,
    /// KV cache replica from which the stream can be resumed; `None` if none is known.
    pub replica: Option<KvReplica>,
}

impl TakeUp {
    /// Decides how the stream goes on that `inbound` takes up, by what this daemon, a few others and the store know of it.
    ///
    /// # Errors
    ///
    /// As `StreamVersion::take_up`.
    pub async fn find(core: &Core, inbound: &Inbound) -> Result<Self, TakeUpError> {
        if let (Some(id), Some(socket)) = (&inbound.resumes, core.peer_socket.get()) {
            socket.ask_for_copy(core, id).await;
        }
        let origin = core.versions.origin(inbound, core.left_ms(inbound)).await;
        let version = core.with_registry(|registry, _| {
            StreamVersion::take_up(origin, registry.serving_versions(&inbound.service))
        })?;
        let record = inbound.resumes.as_deref().and_then(|id| core.versions.replica(id));
        let take_ups = record.as_ref().map_or(1, |record| record.take_ups + 1);
        let replica = record.and_then(|record| recorded_replica(core, inbound, record));
        Ok(Self { version, take_ups, replica })
    }
}

/// Recorded KV cache replica from which the stream that `inbound` takes up can be resumed; `None` if the record belongs to
/// another request, or if its holder takes no requests.
fn recorded_replica(core: &Core, inbound: &Inbound, record: ReplicaRecord) -> Option<KvReplica> {
    let ReplicaRecord { holder, fingerprint, reference, .. } = record;
    if fingerprint != inbound.run_fingerprint(&core.dialect) {
        return None;
    }
    let instance = core.with_registry(|registry, _| {
        let instances = registry.of_service(&inbound.service);
        instances.iter().find(|instance| *instance.entry.id == *holder).map(Arc::clone)
    })?;
    if !core.may_send(&instance) {
        return None;
    }
    let origin = KvReplicaOrigin::Recorded(reference);
    Some(KvReplica::new(instance, origin, core.clock.now_ms()))
}
