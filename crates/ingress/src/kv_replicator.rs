//! Creation, checks and renewal of the KV cache replica of a request.

use crate::{
    config::EngineConfig,
    core::Core,
    engine_call::{engine_call, isolated_engine_call},
    inbound::Inbound,
    instance::Instance,
    instance_entry::InstanceId,
    kv_replica::{KvReplica, KvReplicaOrigin},
    placement::Placement,
    probe::{is_alive, probe_all},
};
use futures::{FutureExt, future::BoxFuture};
use hyper::{Method, StatusCode};
use std::{
    sync::Arc,
    task::{Context, Poll, ready},
};

/// Longest wait for a snapshot, or for its deletion. Transfers on the same link are queued.
const SNAPSHOT_TIMEOUT_MS: u64 = 2_000;

/// Pause after a failed snapshot before another one may be requested.
const BACKOFF_MS: u64 = 1_500;

/// Number of engines that are probed for their load before one gets a snapshot.
const PROBED_ENGINES: usize = 2;

/// Part of a snapshot's lifetime after which it is renewed, in percent.
const RENEW_PERCENT: u64 = 70;

/// Maintains the KV cache replica of one running request at an engine that is alive.
///
/// The first replica is continuous: the engine that runs the request keeps the replica up to date. If the engine that
/// holds the replica is lost, the replica is replaced by a snapshot at another engine.
#[derive(Default)]
pub(crate) struct KvReplicator {
    replica: Option<KvReplica>,
    /// Check of the engine that holds the replica, or snapshot, in progress; `None` if there is neither.
    task: Option<BoxFuture<'static, Outcome>>,
    /// Earliest time of the next snapshot, after one that failed.
    backoff_until_ms: u64,
}

/// Result of the task in progress.
enum Outcome {
    /// The engine that holds the replica is alive.
    Alive,
    /// The engine that holds the replica does not respond.
    Lost,
    /// The snapshot was created.
    Created(KvReplica),
    /// The snapshot could not be created.
    Failed,
}

impl KvReplicator {
    /// Replaces the replica and drops the task in progress.
    pub fn set(&mut self, replica: Option<KvReplica>) {
        self.replica = replica;
        self.task = None;
    }

    /// Current replica; `None` if there is none, for example because the engine that held it was lost.
    pub fn replica(&self) -> Option<&KvReplica> {
        self.replica.as_ref()
    }

    /// Removes and returns the replica, from which the next attempt resumes, and drops the task in progress.
    pub fn take(&mut self) -> Option<KvReplica> {
        self.task = None;
        self.replica.take()
    }

    /// When the next snapshot is due, provided that an engine is sending events; `None` if none is needed or possible,
    /// or if a task is in progress.
    pub fn snapshot_due_ms(&self, config: EngineConfig) -> Option<u64> {
        if self.task.is_some() || !config.snapshots_kv {
            return None;
        }
        let renew_ms = match &self.replica {
            None => 0,
            Some(replica) if replica.origin == KvReplicaOrigin::Continuous => return None,
            Some(replica) => replica.requested_ms + config.snapshot_ttl_ms * RENEW_PERCENT / 100,
        };
        Some(renew_ms.max(self.backoff_until_ms))
    }

    /// Checks the engine that holds the replica after instances were lost, replaced or removed.
    pub fn on_change(&mut self, core: &Arc<Core>) {
        let Some(replica) = &self.replica else { return };
        if !replica.instance.accepts_requests() {
            self.replica = None;
        } else if self.task.is_none() && core.has_loss(&replica.instance.entry.domain) {
            let core = Arc::clone(core);
            let instance = Arc::clone(&replica.instance);
            let check = async move {
                match is_alive(&core, &instance).await {
                    true => Outcome::Alive,
                    false => Outcome::Lost,
                }
            };
            self.task = Some(check.boxed());
        }
    }

    /// Starts to create or renew the snapshot if that is due. `source` is the engine that runs the request.
    pub fn snapshot_if_due(
        &mut self,
        core: &Arc<Core>,
        inbound: &Arc<Inbound>,
        source: &Arc<Instance>,
        excluded: &[InstanceId],
        config: EngineConfig,
    ) {
        let now_ms = core.clock.now_ms();
        if self.snapshot_due_ms(config).is_none_or(|at_ms| at_ms > now_ms) {
            return;
        }
        let holder = self.replica.as_ref().map(|replica| Arc::clone(&replica.instance));
        let candidates = match holder {
            Some(instance) => vec![instance],
            None => snapshot_candidates(core, inbound, source, excluded),
        };
        let core = Arc::clone(core);
        let inbound = Arc::clone(inbound);
        let source = Arc::clone(source);
        let snapshotting = async move {
            let prompt_tokens = inbound.prompt_tokens.unwrap_or(0);
            let probed = probe_all(&core, &inbound.service, candidates, prompt_tokens).await;
            let Some(target) = probed.replica_target(&source, &core.options.domain).cloned() else {
                return Outcome::Failed;
            };
            match request_snapshot(&core, &inbound, &source, target).await {
                Some(replica) => Outcome::Created(replica),
                None => Outcome::Failed,
            }
        };
        self.task = Some(snapshotting.boxed());
    }

    /// Polls the task in progress and applies its result; `Pending` if there is no task.
    pub fn poll_task(&mut self, now_ms: u64, cx: &mut Context<'_>) -> Poll<()> {
        let Some(task) = &mut self.task else { return Poll::Pending };
        let outcome = ready!(task.poll_unpin(cx));
        self.task = None;
        match outcome {
            Outcome::Alive => {}
            Outcome::Lost => self.replica = None,
            Outcome::Created(replica) => self.replica = Some(replica),
            Outcome::Failed => {
                self.replica = None;
                self.backoff_until_ms = now_ms + BACKOFF_MS;
            }
        }
        Poll::Ready(())
    }

    /// Deletes the snapshot of a finished request, which would otherwise occupy memory at the engine that holds it
    /// until it expires. `source` is the engine that ran the request.
    pub fn close(self, core: &Arc<Core>, source: &Arc<Instance>) {
        let Some(KvReplica { origin: KvReplicaOrigin::Snapshot { handle, .. }, .. }) = self.replica
        else {
            return;
        };
        let core = Arc::clone(core);
        let source = Arc::clone(source);
        tokio::spawn(async move {
            let path = format!("{}{handle}", core.dialect.drop_snapshot_path);
            if let Err(err) =
                engine_call(&core, &source, Method::DELETE, &path, Vec::new(), SNAPSHOT_TIMEOUT_MS)
                    .await
            {
                log::info!("copy: snapshot {handle} was not deleted at {}: {err}", source.entry.id);
            }
        });
    }
}

/// Chooses engines that can hold a snapshot. They have the software version of the source, because the stream cannot
/// go on at another one, and are in other failure domains, because the engines of one failure domain tend to fail
/// together. One of them is in the daemon's own domain, unless that is the source's.
fn snapshot_candidates(
    core: &Core,
    inbound: &Inbound,
    source: &Instance,
    excluded: &[InstanceId],
) -> Vec<Arc<Instance>> {
    let required_version = Some(&source.entry.software_version);
    let placement = Placement { excluded, required_version, ..Placement::default() };
    let mut candidates =
        core.choose_stream_candidates(&inbound.service, &placement, PROBED_ENGINES + 1);
    candidates.retain(|candidate| candidate.entry.domain != source.entry.domain);
    candidates.truncate(PROBED_ENGINES);
    candidates
}

/// Asks the engine `source`, which runs the request, to copy the KV cache to `target`; `None` if that fails.
async fn request_snapshot(
    core: &Core,
    inbound: &Inbound,
    source: &Arc<Instance>,
    target: Arc<Instance>,
) -> Option<KvReplica> {
    let requested_ms = core.clock.now_ms();
    let dialect = &core.dialect;
    let body = (dialect.encode_snapshot_request)(inbound.id_text(), target.entry.addr);
    let response = isolated_engine_call(
        source,
        Method::POST,
        dialect.snapshot_path,
        body,
        SNAPSHOT_TIMEOUT_MS,
    )
    .await;
    let id = inbound.id_text();
    let (from, to) = (&source.entry.id, &target.entry.id);
    match response {
        Ok((StatusCode::OK, body)) => {
            let handle = (dialect.decode_snapshot_handle)(&body)?;
            log::info!("copy: created id={id} from={from} to={to} handle={handle}");
            let origin = KvReplicaOrigin::Snapshot { source: source.entry.addr, handle };
            Some(KvReplica::new(target, origin, requested_ms))
        }
        Ok((status, _)) => {
            log::info!("copy: id={id} from={from} to={to} refused with status {}", status.as_u16());
            None
        }
        Err(err) => {
            log::info!("copy: id={id} from={from} to={to} failed: {err}");
            None
        }
    }
}
