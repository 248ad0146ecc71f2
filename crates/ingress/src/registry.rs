//! Instances by service.

use crate::{
    instance::Instance,
    instance_entry::{InstanceEntry, InstanceId},
};
use base::{HashMap, HashSet, ServiceName};
use std::sync::Arc;

/// Time after the return of the platform in which entries that lapsed meanwhile come back.
pub const LAPSE_GRACE_MS: u64 = 2_000;

/// Shortest outage in which an entry can lapse: an entry lapses after three heartbeats of more than a second, and the
/// last one may have come up to one before the outage.
const SHORTEST_LAPSE_MS: u64 = 2_000;

/// All instances that the platform lists.
///
/// An entry that disappears is gone, unless the platform was away: then it may have lapsed although the instance lives,
/// and it counts until it had time to come back.
#[derive(Debug, Default)]
pub struct Registry {
    instances: HashMap<InstanceId, Listed>,
    by_service: HashMap<ServiceName, Vec<Arc<Instance>>>,
    away_since_ms: Option<u64>,
    grace_until_ms: u64,
}

#[derive(Debug)]
struct Listed {
    instance: Arc<Instance>,
    gone_at_ms: Option<u64>,
}

impl Registry {
    /// Instances of a service.
    pub fn of_service(&self, service: &ServiceName) -> &[Arc<Instance>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// The platform does not answer.
    pub fn platform_lost(&mut self, now_ms: u64) {
        self.away_since_ms.get_or_insert(now_ms);
    }

    /// The platform answers again.
    pub fn platform_answered(&mut self, now_ms: u64) {
        let since_ms = self.away_since_ms.take();
        if since_ms.is_some_and(|at_ms| now_ms >= at_ms + SHORTEST_LAPSE_MS) {
            self.grace_until_ms = now_ms + LAPSE_GRACE_MS;
        }
    }

    /// Takes over an entry that was written.
    pub fn upsert(&mut self, entry: InstanceEntry) {
        let id = Arc::clone(&entry.id);
        if let Some(listed) = self.instances.get_mut(&id) {
            listed.gone_at_ms = None;
            if listed.instance.entry == entry {
                return;
            }
            self.unlink(&id);
        }
        self.retire_at(&entry);
        log::info!(
            "instances: {id} service={} domain={} addr={} draining={}",
            entry.service,
            entry.domain,
            entry.addr,
            entry.is_draining
        );
        let instance = Arc::new(Instance::new(entry));
        let service = instance.entry.service.clone();
        self.by_service.entry(service).or_default().push(Arc::clone(&instance));
        self.instances.insert(id, Listed { instance, gone_at_ms: None });
    }

    /// Takes over an entry that was removed.
    pub fn remove(&mut self, id: &str, now_ms: u64) {
        let Some(listed) = self.instances.get_mut(id) else { return };
        let may_return = now_ms < self.grace_until_ms && listed.instance.is_open();
        if may_return {
            listed.gone_at_ms.get_or_insert(self.grace_until_ms);
            log::info!("instances: {id} is missing after an outage of the platform");
            return;
        }
        log::info!("instances: {id} is gone");
        self.unlink(id);
    }

    /// Takes over all entries.
    pub fn replace(&mut self, entries: Vec<InstanceEntry>, now_ms: u64) {
        let listed: HashSet<&InstanceId> = entries.iter().map(|entry| &entry.id).collect();
        let missing: Vec<InstanceId> =
            self.instances.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in missing {
            self.remove(&id, now_ms);
        }
        for entry in entries {
            self.upsert(entry);
        }
    }

    /// Removes entries that did not come back.
    pub fn expire(&mut self, now_ms: u64) {
        let is_over = |listed: &Listed| listed.gone_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
        let over: Vec<InstanceId> = self
            .instances
            .iter()
            .filter(|(_, listed)| is_over(listed))
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in over {
            log::info!("instances: {id} did not come back and is gone");
            self.unlink(&id);
        }
    }

    /// When `expire` has something to do; `None` if nothing waits.
    pub fn expires_ms(&self) -> Option<u64> {
        self.instances.values().filter_map(|listed| listed.gone_at_ms).min()
    }

    /// Retires an instance whose address another one has now.
    fn retire_at(&self, entry: &InstanceEntry) {
        for listed in self.instances.values() {
            let old = &listed.instance.entry;
            if old.addr == entry.addr && old.id != entry.id {
                log::info!("instances: {} was replaced at its address by {}", old.id, entry.id);
                listed.instance.retire();
            }
        }
    }

    fn unlink(&mut self, id: &str) {
        let Some(listed) = self.instances.remove(id) else { return };
        listed.instance.retire();
        let service = &listed.instance.entry.service;
        if let Some(instances) = self.by_service.get_mut(service) {
            instances.retain(|instance| &*instance.entry.id != id);
        }
    }
}
