//! Registry of the instances that the platform lists, which keeps instances whose entries expire in a platform outage.

use crate::{
    instance::Instance,
    instance_entry::{InstanceEntry, InstanceId},
    instance_rates::InstanceRates,
    service_rates::ServiceRates,
    shared_rates::SharedRates,
};
use affinity::SoftwareVersion;
use base::{HashMap, HashSet, ServiceName};
use std::{net::SocketAddr, sync::Arc};

/// Grace period after a platform outage or a restoration of its store from an older copy, in which instances can write
/// their registry entries again if these expired or were lost.
pub const EXPIRY_GRACE_MS: u64 = 2_000;

/// Number of leaving instances from which those that are no longer listed are forgotten.
const MAX_LEAVING: usize = 4_096;

/// Number of leaving runs of one instance that are remembered, so that answers and entries of earlier runs may still
/// arrive after later ones.
const MAX_LEAVING_RUNS: usize = 8;

/// Shortest platform outage in which a registry entry can expire. An entry expires after three missed heartbeats, which
/// are more than a second apart, and the last heartbeat may precede the outage by up to one interval.
const MIN_EXPIRY_OUTAGE_MS: u64 = 2_000;

/// All instances that the platform lists, by identifier and by service.
///
/// An instance is removed as soon as its registry entry is removed. After a platform outage or a restoration of its store,
/// an entry may be missing only because its instance could not renew it, or because the copy is older than the entry:
/// such an instance is kept until the grace period ends.
#[derive(Debug, Default)]
pub struct Registry {
    instances: HashMap<InstanceId, Listed>,
    by_service: HashMap<ServiceName, Vec<Arc<Instance>>>,
    /// Usual rates of the services that have or had instances.
    rates: HashMap<ServiceName, Arc<ServiceRates>>,
    /// Start times of the runs of each instance that have stated that they leave, the last one last. These runs take no
    /// requests; others do.
    leaving: HashMap<InstanceId, Vec<Option<u64>>>,
    /// When the platform stopped responding; `None` while it responds.
    outage_since_ms: Option<u64>,
    /// End of the grace period after the last outage or restoration.
    grace_until_ms: u64,
}

/// Instance that is or was listed.
#[derive(Debug)]
struct Listed {
    instance: Arc<Instance>,
    /// When the instance is removed unless its registry entry is written again; `None` while the entry exists.
    expires_ms: Option<u64>,
    /// Whether an entry of another instance at the same address was written later, which retires this one.
    is_replaced: bool,
}

impl Registry {
    /// Instances of a service, including draining ones; empty for an unknown service.
    pub fn of_service(&self, service: &ServiceName) -> &[Arc<Instance>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Software versions of the instances of a service, including draining ones.
    pub fn versions_of(&self, service: &ServiceName) -> impl Iterator<Item = &SoftwareVersion> {
        self.of_service(service).iter().map(|instance| &instance.entry.software_version)
    }

    /// Software versions of the instances of a service that take requests.
    pub fn serving_versions(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let instances = self.of_service(service).iter();
        let accepting = instances.filter(|instance| instance.accepts_requests());
        accepting.map(|instance| &instance.entry.software_version)
    }

    /// Number of instances of all services, including those that are kept for the grace period.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// The instance `id`; `None` if it is neither listed nor kept for the grace period.
    pub fn get(&self, id: &str) -> Option<&Arc<Instance>> {
        self.instances.get(id).map(|listed| &listed.instance)
    }

    /// Whether the platform does not respond.
    pub fn has_outage(&self) -> bool {
        self.outage_since_ms.is_some()
    }

    /// Whether the instance `id` is listed, or kept for the grace period.
    pub fn contains(&self, id: &str) -> bool {
        self.instances.contains_key(id)
    }

    /// Whether no instance is listed.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Records that the instance of a registry entry has stated that it leaves. The entry may be an earlier one of the
    /// same run, or of an earlier run, than the listed one.
    pub fn record_leaving(&mut self, entry: &InstanceEntry) {
        if self.leaving.len() >= MAX_LEAVING {
            let instances = &self.instances;
            self.leaving.retain(|id, _| instances.contains_key(id));
        }
        let runs = self.leaving.entry(Arc::clone(&entry.id)).or_default();
        runs.retain(|run| *run != entry.started_unix_ms);
        if runs.len() >= MAX_LEAVING_RUNS {
            runs.remove(0);
        }
        runs.push(entry.started_unix_ms);
        if let Some(listed) = self.instances.get(&entry.id)
            && listed.instance.entry.started_unix_ms == entry.started_unix_ms
        {
            listed.instance.leave();
        }
    }

    /// Records that the platform does not respond.
    pub fn platform_lost(&mut self, now_ms: u64) {
        self.outage_since_ms.get_or_insert(now_ms);
    }

    /// Records that the platform responds. The grace period begins if entries can have expired during an outage.
    pub fn platform_recovered(&mut self, now_ms: u64) {
        let since_ms = self.outage_since_ms.take();
        if since_ms.is_some_and(|at_ms| now_ms >= at_ms + MIN_EXPIRY_OUTAGE_MS) {
            self.grace_until_ms = now_ms + EXPIRY_GRACE_MS;
        }
    }

    /// Records that the platform's store was restored from an older copy, which may lack entries. The grace period begins.
    pub fn platform_restored(&mut self, now_ms: u64) {
        self.grace_until_ms = now_ms + EXPIRY_GRACE_MS;
    }

    /// Adds the instance of a registry entry, or replaces the instance if the entry has changed. An instance whose entry
    /// is written again unchanged keeps its address, or gets it back if another entry has named it meanwhile: a process
    /// that runs writes its entry again and again, and an entry that another writer has left does not.
    pub fn upsert(&mut self, entry: InstanceEntry) {
        self.write(entry, true);
    }

    /// Adds or replaces the instance of a registry entry. `is_last` tells whether no later entry has its address.
    fn write(&mut self, entry: InstanceEntry, is_last: bool) {
        let id = Arc::clone(&entry.id);
        let mut rates = None;
        if let Some(listed) = self.instances.get_mut(&id) {
            listed.expires_ms = None;
            if listed.instance.entry == entry && listed.is_replaced != is_last {
                return;
            }
            if listed.instance.entry == entry && !is_last {
                listed.is_replaced = true;
                listed.instance.retire();
                return;
            }
            let known = &listed.instance.rates;
            rates = known.are_of(&entry).then(|| Arc::clone(known));
            self.remove_now(&id);
        }
        if is_last {
            self.retire_at(&entry);
        }
        log::info!(
            "instances: {id} is listed, service={} domain={} version={} addr={} draining={}",
            entry.service,
            entry.domain,
            entry.software_version,
            entry.addr,
            entry.is_draining
        );
        let rates = rates.unwrap_or_else(|| self.new_rates(&entry));
        let instance = Arc::new(Instance::with_rates(entry, rates));
        if let Some(runs) = self.leaving.get_mut(&id) {
            if runs.contains(&instance.entry.started_unix_ms) {
                instance.leave();
            } else {
                // Runs whose start times are not known cannot be told apart, so a later one may be meant next time.
                runs.retain(Option::is_some);
            }
        }
        if !is_last {
            instance.retire();
        }
        let service = instance.entry.service.clone();
        self.by_service.entry(service).or_default().push(Arc::clone(&instance));
        self.instances.insert(id, Listed { instance, expires_ms: None, is_replaced: !is_last });
    }

    /// Removes an instance whose registry entry is missing. Within the grace period, an instance that accepts requests
    /// is kept until that period ends.
    pub fn remove(&mut self, id: &str, now_ms: u64) {
        let Some(listed) = self.instances.get_mut(id) else { return };
        let may_reappear = now_ms < self.grace_until_ms && listed.instance.accepts_requests();
        if may_reappear {
            listed.expires_ms.get_or_insert(self.grace_until_ms);
            log::info!(
                "instances: {id} has no entry after a platform outage or restoration, kept for the grace period"
            );
            return;
        }
        log::info!("instances: {id} was removed");
        self.end_run(id);
    }

    /// Applies a complete list of registry entries, of which earlier ones were written first. An instance that is not
    /// listed is removed as by `remove`.
    pub fn replace(&mut self, entries: Vec<InstanceEntry>, now_ms: u64) {
        let listed: HashSet<&InstanceId> = entries.iter().map(|entry| &entry.id).collect();
        let missing: Vec<InstanceId> =
            self.instances.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in missing {
            self.remove(&id, now_ms);
        }
        // Of two listed instances at one address, the one whose entry was written last is there.
        let mut last_at: HashMap<SocketAddr, InstanceId> = HashMap::default();
        for entry in &entries {
            last_at.insert(entry.addr, Arc::clone(&entry.id));
        }
        for entry in entries {
            let is_last = last_at.get(&entry.addr) == Some(&entry.id);
            self.write(entry, is_last);
        }
    }

    /// Removes the instances whose registry entries were not written again before the grace period ended.
    pub fn expire(&mut self, now_ms: u64) {
        let is_expired = |listed: &Listed| listed.expires_ms.is_some_and(|at_ms| now_ms >= at_ms);
        let expired: Vec<InstanceId> = self
            .instances
            .iter()
            .filter(|(_, listed)| is_expired(listed))
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in expired {
            log::info!(
                "instances: {id} was removed, its registry entry was not written again before the \
                 grace period ended"
            );
            self.end_run(&id);
        }
    }

    /// When `expire` next has an instance to remove; `None` if every instance has a registry entry.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.instances.values().filter_map(|listed| listed.expires_ms).min()
    }

    /// Rates of a process that has not been used yet.
    fn new_rates(&mut self, entry: &InstanceEntry) -> Arc<InstanceRates> {
        let service = &entry.service;
        let rates = self.rates.entry(service.clone());
        let rates = rates.or_insert_with(|| Arc::new(ServiceRates::new(service.clone())));
        Arc::new(InstanceRates::new(entry, Arc::clone(rates)))
    }

    /// Rates of engines for other daemons, for each service whose engines differ.
    pub(crate) fn shared_rates(&self, now_ms: u64) -> Vec<Vec<SharedRates>> {
        let shared = self.rates.values().map(|rates| rates.shared(now_ms));
        shared.filter(|rates| !rates.is_empty()).collect()
    }

    /// Takes over rates of engines that another daemon has learned later.
    pub(crate) fn merge_rates(&self, shared: &[SharedRates], now_ms: u64) {
        for rates in shared {
            if let Some(listed) = self.instances.get(&*rates.instance)
                && listed.instance.rates.merge(rates, now_ms)
            {
                metrics::counter!("engine_rates_merged_total").increment(1);
            }
        }
    }

    /// Retires the instance whose address now belongs to the instance of `entry`.
    fn retire_at(&mut self, entry: &InstanceEntry) {
        for listed in self.instances.values_mut() {
            let old = &listed.instance.entry;
            if old.addr == entry.addr && old.id != entry.id && !listed.is_replaced {
                log::info!("instances: {} was replaced at its address by {}", old.id, entry.id);
                listed.is_replaced = true;
                listed.instance.retire();
            }
        }
    }

    /// Removes an instance whose entry is gone. If its start time is not known, the next entry counts as another run.
    fn end_run(&mut self, id: &str) {
        self.remove_now(id);
        if let Some(runs) = self.leaving.get_mut(id) {
            runs.retain(Option::is_some);
        }
    }

    fn remove_now(&mut self, id: &str) {
        let Some(listed) = self.instances.remove(id) else { return };
        listed.instance.retire();
        let service = &listed.instance.entry.service;
        if let Some(instances) = self.by_service.get_mut(service) {
            instances.retain(|instance| &*instance.entry.id != id);
        }
    }
}
