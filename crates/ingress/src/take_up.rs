//! What a daemon finds out of a stream that a caller takes up.

use crate::{
    core::Core,
    inbound::Inbound,
    kv_replica::{KvReplica, KvReplicaOrigin},
};
use affinity::{ReplicaRecord, SoftwareVersion, StreamVersion, TakeUpError};
use base::stable_hash;
use hyper::header::HeaderValue;
use std::sync::Arc;

/// Number of engines that are probed for their load before one gets a request.
const PROBED_ENGINES: usize = 3;

/// Number of engines that are probed before one gets a take-up that needs a prefill. After the loss of all power, some 50
/// of them come at once, and few engines of their version may be left; at a third one in a row the first event is late.
const PROBED_FOR_TAKE_UP: usize = 8;

/// How a stream goes on that a caller takes up.
#[derive(Debug)]
pub(crate) struct TakeUp {
    /// Software version at which the stream goes on.
    pub version: StreamVersion,
    /// Number of times that the stream was taken up, including this one.
    pub take_ups: u32,
    /// KV cache replica from which the stream can be resumed; `None` if none is known.
    pub replica: Option<KvReplica>,
    /// Version of the model weights that sent the events so far; `None` if it is not known.
    pub weights_version: Option<HeaderValue>,
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
        // Callers choose the identifiers of streams, and the record may belong to another request.
        let is_same =
            |record: &ReplicaRecord| record.fingerprint == inbound.run_fingerprint(&core.dialect);
        let record = record.filter(is_same);
        let weights = record.as_ref().and_then(|record| record.weights_version.as_deref());
        let weights_version = weights.and_then(|version| HeaderValue::from_str(version).ok());
        let replica = record.and_then(|record| recorded_replica(core, inbound, record));
        Ok(Self { version, take_ups, replica, weights_version })
    }

    /// Logs and counts that `inbound` goes on.
    pub fn log(&self, inbound: &Inbound) {
        let has_copy = self.replica.is_some().to_string();
        metrics::counter!("stream_takeups_accepted_total", "copy" => has_copy).increment(1);
        log::info!(
            "stream: id={} is taken up, resumes={} after={:?} version={} copy_at={} weights={}",
            inbound.id_text(),
            inbound.resumes.as_deref().unwrap_or("-"),
            inbound.last_event_id,
            self.version.required().map_or("-", SoftwareVersion::as_str),
            self.replica.as_ref().map_or("-", |replica| &*replica.instance.entry.id),
            self.weights_version.as_ref().and_then(|version| version.to_str().ok()).unwrap_or("-"),
        );
    }
}

/// Asks other daemons for the stream `id` unless this daemon has a record of it, so that the service is known at which the
/// stream began.
pub(crate) async fn learn_service(core: &Core, id: &str) {
    if let (None, Some(socket)) = (core.versions.service(id), core.peer_socket.get()) {
        socket.ask_for_copy(core, id).await;
    }
}

/// Recorded KV cache replica from which the stream that `inbound` takes up can be resumed; `None` if its holder takes no
/// requests.
fn recorded_replica(core: &Core, inbound: &Inbound, record: ReplicaRecord) -> Option<KvReplica> {
    let ReplicaRecord { holder, reference, .. } = record;
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

/// Number of engines that are probed before one gets `inbound`. `has_replica` tells whether a KV cache replica spares the
/// prefill.
pub(crate) fn probed_engines(inbound: &Inbound, has_replica: bool) -> usize {
    match inbound.last_event_id.is_some() && !has_replica {
        true => PROBED_FOR_TAKE_UP,
        false => PROBED_ENGINES,
    }
}

/// Identifies a version among the streams that wait for engines at this daemon.
pub(crate) fn version_key(version: &SoftwareVersion) -> u64 {
    stable_hash(version.as_str())
}
