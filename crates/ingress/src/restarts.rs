//! Instances that have restarted under another identifier while the platform's store does not respond.
//!
//! The store names the new identifiers only after its outage. Until then, the daemons that lost requests at an instance
//! ask at its address, and tell the others what they find.

use crate::{
    core::Core,
    exchange::connect,
    instance::Instance,
    instance_entry::{InstanceEntry, InstanceId},
    peer_message::{MESSAGE_SIZE_BYTES, PeerMessage},
};
use base::lock;
use futures::future::join_all;
use hyper::Method;
use restart::LostInstances;
use serde::{Deserialize, Serialize};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};
use web::json_request;

/// Largest body of an answer to a check that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Number of daemons that are told of new restarts. Each of them tells as many others.
const FANOUT: usize = 4;

/// Time for which restarts are collected into one message.
const COLLECT_MS: u64 = 20;

/// Restart of an instance under another identifier.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Restart {
    /// Identifier of the process that was lost.
    pub lost: Box<str>,
    /// Identifier of the process that has its address now.
    pub id: Box<str>,
    /// Unix time at which that process started, in milliseconds.
    pub started_unix_ms: Option<u64>,
}

/// Instances that were lost, and restarts of which other daemons are still to be told.
#[derive(Debug)]
pub(crate) struct Restarts {
    lost: Mutex<LostInstances>,
    unsent: Mutex<Vec<Restart>>,
    /// Wakes the task that checks addresses and sends messages.
    changed: Notify,
}

impl Restarts {
    /// Creates the state of a daemon that has lost no instance. `reuse_after_ms` is the shortest time after which the
    /// address of a process can belong to another service.
    pub fn new(reuse_after_ms: u64) -> Self {
        Self {
            lost: Mutex::new(LostInstances::new(reuse_after_ms)),
            unsent: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Records that a request was lost at the instance, which last sent something at `last_received_ms`.
    pub fn record_loss(&self, instance: &Instance, last_received_ms: u64, now_ms: u64) {
        lock(&self.lost).record(&instance.entry.id, last_received_ms, now_ms);
        self.changed.notify_one();
    }
}

/// Checks the addresses of lost instances while the store does not respond, as long as the future is polled.
pub async fn find_restarts(core: Arc<Core>) {
    loop {
        let next_ms = lock(&core.restarts.lost).next_check_ms();
        let changed = core.restarts.changed.notified();
        match next_ms {
            Some(at_ms) => {
                let at = Instant::from_std(core.clock.instant_at(at_ms));
                // Both outcomes lead to the next round.
                let _ = tokio::time::timeout_at(at, changed).await;
            }
            None => changed.await,
        }
        let due = lock(&core.restarts.lost).take_due(core.clock.now_ms());
        let checks = due.iter().map(|id| check(&core, id));
        let found = join_all(checks).await.into_iter().flatten().collect();
        core.apply_restarts(found);
        if !lock(&core.restarts.unsent).is_empty() {
            tokio::time::sleep(Duration::from_millis(COLLECT_MS)).await;
            core.tell_restarts().await;
        }
    }
}

/// Asks at the address of the lost instance `id` which process is there. Returns the restart if it is another one of the
/// same service.
async fn check(core: &Core, id: &InstanceId) -> Option<Restart> {
    let instance = core.with_registry(|registry, _| {
        registry.has_outage().then(|| registry.get(id)).flatten().cloned()
    })?;
    let path = core.config()?.health_path(&instance.entry.service)?.to_owned();
    let timeout = Duration::from_millis(core.options.report_timeout_ms);
    let (found, started_unix_ms) =
        tokio::time::timeout(timeout, ask(core, &instance, &path)).await.ok()??;
    let is_successor = lock(&core.restarts.lost).resolve(id, core.clock.now_ms());
    (is_successor && *found != **id).then(|| Restart {
        lost: (**id).into(),
        id: found,
        started_unix_ms,
    })
}

/// Identifier and start time of the healthy process at the address of an instance; `None` if there is none.
async fn ask(core: &Core, instance: &Instance, path: &str) -> Option<(Box<str>, Option<u64>)> {
    let addr = instance.entry.addr;
    let mut connection = connect(instance).await.ok()?;
    let mut get = async |path: &str| {
        let request = json_request(Method::GET, addr, path, Vec::new()).ok()?;
        connection.fetch(request, MAX_ANSWER_BYTES).await.ok()
    };
    let health = get(path).await.filter(|answer| answer.status().is_success())?;
    let id = health.headers().get(&core.dialect.instance)?.to_str().ok()?;
    let report = get(core.dialect.report_path).await?;
    let report = (core.dialect.decode_report)(report.body())?;
    Some((id.into(), report.started_unix_ms))
}

impl Core {
    /// Adds the instances that have restarted and are not known yet, and keeps them for a message to other daemons.
    /// While the store responds, its entries decide alone.
    pub(crate) fn apply_restarts(&self, restarts: Vec<Restart>) {
        let mut has_changed = false;
        for restart in restarts {
            let entry = self.with_registry(|registry, _| {
                let lost = &registry.get(&restart.lost)?.entry;
                let is_single = is_single_version(registry.versions_of(&lost.service));
                let is_new = registry.has_outage() && !registry.contains(&restart.id);
                if !is_new || !is_single || lost.is_draining {
                    return None;
                }
                let entry = InstanceEntry {
                    id: (*restart.id).into(),
                    started_unix_ms: restart.started_unix_ms,
                    cold_remaining_ms: 0,
                    ..lost.clone()
                };
                registry.upsert(entry.clone());
                Some(entry)
            });
            let Some(entry) = entry else { continue };
            log::info!(
                "instances: {} has restarted as {}, service={} domain={}, found while the store does not respond",
                restart.lost,
                entry.id,
                entry.service,
                entry.domain,
            );
            metrics::counter!("instance_restarts_found_total").increment(1);
            lock(&self.restarts.unsent).push(restart);
            has_changed = true;
        }
        if has_changed {
            self.restarts.changed.notify_one();
            self.notify_instances_changed();
        }
    }

    /// Tells other daemons, picked at random, of the restarts that are new to this one.
    async fn tell_restarts(&self) {
        let unsent = std::mem::take(&mut *lock(&self.restarts.unsent));
        let Some(socket) = self.peer_socket.get() else { return };
        for peer in self.random_peers(FANOUT) {
            for message in messages(&unsent) {
                socket.send(&message, peer).await;
            }
        }
    }
}

/// Messages with `restarts`, each of which fits into a datagram.
fn messages(restarts: &[Restart]) -> Vec<PeerMessage> {
    let message = PeerMessage::Restarts(restarts.to_vec());
    if restarts.len() <= 1 || message.encode().len() <= MESSAGE_SIZE_BYTES {
        return vec![message];
    }
    let (first, rest) = restarts.split_at(restarts.len() / 2);
    [messages(first), messages(rest)].concat()
}

/// Whether all versions are the same, so that a restarted instance has this one too.
fn is_single_version<T: Eq>(mut versions: impl Iterator<Item = T>) -> bool {
    let Some(first) = versions.next() else { return false };
    versions.all(|version| version == first)
}
