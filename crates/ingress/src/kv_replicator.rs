//! Keeps a copy of a run's memory at an engine that lives.

use crate::{
    config::EngineConfig,
    core::Core,
    engine_call::engine_call,
    inbound::Inbound,
    instance::Instance,
    instance_entry::InstanceId,
    kv_replica::{KvReplica, KvReplicaOrigin},
    placement::Placement,
    probe::{is_alive, probe_all},
};
use base::DomainName;
use futures::{FutureExt, future::BoxFuture};
use hyper::{Method, StatusCode};
use std::{
    sync::Arc,
    task::{Context, Poll, ready},
};

/// Longest wait for a copy. Copies wait for others on the same link.
const COPY_WAIT_MS: u64 = 2_000;

/// Pause after a copy that could not be made.
const PAUSE_MS: u64 = 1_500;

/// Engines that are asked for their load before one gets a copy.
const PROBED_ENGINES: usize = 2;

/// Part of a snapshot's life after which it is made again, in percent.
const RENEW_PERCENT: u64 = 70;

/// Copy of one run's memory, and the work to have one.
///
/// The engine of the run keeps a first copy up to date by itself. When that copy's engine is lost, a snapshot at another
/// one takes its place.
#[derive(Default)]
pub(crate) struct KvReplicator {
    copy: Option<KvReplica>,
    task: Option<BoxFuture<'static, Outcome>>,
    not_before_ms: u64,
}

enum Outcome {
    Alive,
    Lost,
    Made(KvReplica),
    Failed,
}

impl KvReplicator {
    /// Takes over the copy that a new attempt makes.
    pub fn set(&mut self, copy: Option<KvReplica>) {
        self.copy = copy;
        self.task = None;
    }

    /// The copy.
    pub fn copy(&self) -> Option<&KvReplica> {
        self.copy.as_ref()
    }

    /// Takes the copy for the next attempt.
    pub fn take(&mut self) -> Option<KvReplica> {
        self.task = None;
        self.copy.take()
    }

    /// When there is something to do for a run that makes events.
    pub fn due_ms(&self, rules: EngineConfig) -> Option<u64> {
        if self.task.is_some() || !rules.snapshots_kv {
            return None;
        }
        let renew_ms = match &self.copy {
            None => 0,
            Some(copy) if copy.origin == KvReplicaOrigin::Continuous => return None,
            Some(copy) => copy.since_ms + rules.snapshot_ttl_ms * RENEW_PERCENT / 100,
        };
        Some(renew_ms.max(self.not_before_ms))
    }

    /// Looks at the copy's engine after instances were lost, replaced or removed.
    pub fn on_change(&mut self, core: &Arc<Core>) {
        let Some(copy) = &self.copy else { return };
        if !copy.instance.is_open() {
            self.copy = None;
        } else if self.task.is_none() && core.has_loss(&copy.instance.entry.domain) {
            let core = Arc::clone(core);
            let instance = Arc::clone(&copy.instance);
            let check = async move {
                match is_alive(&core, &instance).await {
                    true => Outcome::Alive,
                    false => Outcome::Lost,
                }
            };
            self.task = Some(check.boxed());
        }
    }

    /// Makes a snapshot, or renews it, if that is due.
    pub fn keep(
        &mut self,
        core: &Arc<Core>,
        inbound: &Arc<Inbound>,
        source: &Arc<Instance>,
        excluded: &[InstanceId],
        rules: EngineConfig,
    ) {
        let now_ms = core.clock.now_ms();
        if self.due_ms(rules).is_none_or(|at_ms| at_ms > now_ms) {
            return;
        }
        let kept = self.copy.as_ref().map(|copy| Arc::clone(&copy.instance));
        let candidates = match kept {
            Some(instance) => vec![instance],
            None => copy_candidates(core, inbound, &source.entry.domain, excluded),
        };
        let core = Arc::clone(core);
        let inbound = Arc::clone(inbound);
        let source = Arc::clone(source);
        let copying = async move {
            let probed = probe_all(&core, candidates).await;
            let Some(target) = probed.copy_target(&source).cloned() else {
                return Outcome::Failed;
            };
            match snapshot(&core, &inbound, &source, target).await {
                Some(copy) => Outcome::Made(copy),
                None => Outcome::Failed,
            }
        };
        self.task = Some(copying.boxed());
    }

    /// Carries the work on. It is never ready while there is something to be done.
    pub fn poll_task(&mut self, now_ms: u64, cx: &mut Context<'_>) -> Poll<()> {
        let Some(task) = &mut self.task else { return Poll::Pending };
        let outcome = ready!(task.poll_unpin(cx));
        self.task = None;
        match outcome {
            Outcome::Alive => {}
            Outcome::Lost => self.copy = None,
            Outcome::Made(copy) => self.copy = Some(copy),
            Outcome::Failed => {
                self.copy = None;
                self.not_before_ms = now_ms + PAUSE_MS;
            }
        }
        Poll::Ready(())
    }

    /// Ends the keeping of a run that has finished. A snapshot would occupy its engine's memory for a while.
    pub fn close(self, core: &Arc<Core>, source: &Arc<Instance>) {
        let Some(KvReplica { origin: KvReplicaOrigin::Snapshot { handle, .. }, .. }) = self.copy
        else {
            return;
        };
        let core = Arc::clone(core);
        let source = Arc::clone(source);
        tokio::spawn(async move {
            let path = format!("{}{handle}", core.dialect.drop_snapshot_path);
            if let Err(err) =
                engine_call(&core, &source, Method::DELETE, &path, Vec::new(), COPY_WAIT_MS).await
            {
                log::info!("copy: {handle} at {} was not dropped: {err}", source.entry.id);
            }
        });
    }
}

/// Engines that may take a copy: those of other failure domains, since the engines of a failure domain tend to fail
/// together.
fn copy_candidates(
    core: &Core,
    inbound: &Inbound,
    domain: &DomainName,
    excluded: &[InstanceId],
) -> Vec<Arc<Instance>> {
    let placement = Placement { excluded, other_than: Some(domain), ..Placement::default() };
    core.place_some(&inbound.service, &placement, PROBED_ENGINES)
}

/// Lets the engine of a run copy the run's memory to `target`.
async fn snapshot(
    core: &Core,
    inbound: &Inbound,
    source: &Arc<Instance>,
    target: Arc<Instance>,
) -> Option<KvReplica> {
    let since_ms = core.clock.now_ms();
    let dialect = &core.dialect;
    let body = (dialect.encode_snapshot_request)(inbound.id_text(), target.entry.addr);
    let answer =
        engine_call(core, source, Method::POST, dialect.snapshot_path, body, COPY_WAIT_MS).await;
    let id = inbound.id_text();
    let (from, to) = (&source.entry.id, &target.entry.id);
    match answer {
        Ok((StatusCode::OK, body)) => {
            let handle = (dialect.decode_snapshot_handle)(&body)?;
            log::info!("copy: id={id} from={from} to={to} handle={handle}");
            let origin = KvReplicaOrigin::Snapshot { source: source.entry.addr, handle };
            Some(KvReplica::new(target, origin, since_ms))
        }
        Ok((status, _)) => {
            log::info!("copy: id={id} from={from} to={to} was refused with {}", status.as_u16());
            None
        }
        Err(err) => {
            log::info!("copy: id={id} from={from} to={to} failed: {err}");
            None
        }
    }
}
