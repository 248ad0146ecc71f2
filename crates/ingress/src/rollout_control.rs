//! Rollouts of software versions: which requests may go to the target version, and what is observed of them.

use crate::{
    cold_instances::ColdInstances,
    core::Core,
    inbound::Inbound,
    instance::Instance,
    instance_entry::{InstanceEntry, InstanceId},
    observation::Observation,
    registry::Registry,
    version_rule::VersionRule,
};
use affinity::SoftwareVersion;
use base::{Clock, HashMap, ServiceName, lock, stable_hash};
use rollout::{
    ListedServices, NewRequest, OrderChange, OrderOrigin, RolloutBounds, RolloutOrder,
    RolloutReply, RolloutReport, RolloutStatus, Rollouts, RouteKey, StatusWrite, UsableVersions,
    VersionChoice,
};
use std::{
    hash::{BuildHasher, RandomState},
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::sync::Notify;

/// Number of instances that get the requests for a version under evaluation, as a multiple of those that would run at the
/// usual load of the old ones. With 2, a version that is bad only under load was found at the time limit alone.
const LOAD_MARGIN: f64 = 1.0;

/// Part of those instances that must not be slow after their start any more, as a divisor. The load of each is at most so
/// many times the intended one.
const MIN_WARM_DIVISOR: usize = 2;

/// Message with the daemons that get it.
type Addressed<T> = (Vec<SocketAddr>, T);

/// Rollouts of a daemon. Without limits from the settings, no request is restricted or observed.
#[derive(Debug)]
pub struct RolloutControl {
    clock: Clock,
    enabled: OnceLock<Enabled>,
    /// Whether the last list of items may lack orders that were written before it.
    is_unconfirmed: AtomicBool,
    cold: Mutex<ColdInstances>,
    /// Peer addresses of all listed daemons, including this one.
    daemons: Mutex<Vec<SocketAddr>>,
    /// Wakes the exchange of reports.
    pub(crate) started: Notify,
}

/// State of a daemon whose settings state limits of rollouts.
#[derive(Debug)]
struct Enabled {
    bounds: RolloutBounds,
    rollouts: Mutex<Rollouts>,
}

impl Default for RolloutControl {
    fn default() -> Self {
        Self {
            clock: Clock::start(),
            enabled: OnceLock::new(),
            is_unconfirmed: AtomicBool::new(false),
            cold: Mutex::default(),
            daemons: Mutex::default(),
            started: Notify::new(),
        }
    }
}

impl RolloutControl {
    /// Puts rollouts in force. Only the first call has an effect.
    pub fn enable(&self, bounds: RolloutBounds) {
        // Two lifetimes of a daemon must not be taken for one.
        let lifetime = RandomState::new().hash_one(bounds.rollback_ms);
        let rollouts = Mutex::new(Rollouts::new(bounds, lifetime));
        // A second call changes nothing.
        let _ = self.enabled.set(Enabled { bounds, rollouts });
    }

    /// Returns what `change` returns for the rollouts and the current time; `None` if rollouts are not in force.
    pub(crate) fn with<T>(&self, change: impl FnOnce(&mut Rollouts, u64) -> T) -> Option<T> {
        let enabled = self.enabled.get()?;
        let now_ms = self.clock.now_ms();
        let mut rollouts = lock(&enabled.rollouts);
        let result = change(&mut rollouts, now_ms);
        for (service, text) in rollouts.take_changes(now_ms) {
            log::info!("rollout: service={service} {text}");
            metrics::counter!("rollout_phase_changes_total").increment(1);
        }
        Some(result)
    }

    /// Decides which instances a request may be sent to. `required` is the version at which a stream began, and `excluded`
    /// are the instances that the request was sent to before.
    pub(crate) fn rule(
        &self,
        core: &Core,
        inbound: &Inbound,
        required: Option<&SoftwareVersion>,
        excluded: &[InstanceId],
    ) -> VersionRule {
        let service = &inbound.service;
        if self.enabled.get().is_none() {
            return VersionRule::Any;
        }
        let state = self.with(|rollouts, _| {
            let (target, phase) = rollouts.state(service)?;
            Some((target.clone(), phase, rollouts.suspended(service).to_vec()))
        });
        let Some((target, phase, suspended)) = state.flatten() else {
            return match self.is_unconfirmed.load(Ordering::Relaxed) && required.is_none() {
                true => core.with_registry(|registry, _| most_common(registry, service)),
                false => VersionRule::Any,
            };
        };
        let is_target = |instance: &&Arc<Instance>| instance.entry.software_version == target;
        let is_final = phase.is_final();
        let (mut targets, old, has_suspended, slots_ratio) =
            core.with_registry(|registry, now_ms| {
                let instances = registry.of_service(service).iter();
                let serving = instances.filter(|instance| instance.accepts_requests());
                let (mut targets, mut others): (Vec<_>, Vec<_>) = serving.partition(is_target);
                let state = |instance: &Arc<Instance>| {
                    let version = &instance.entry.software_version;
                    suspended.iter().find(|suspended| suspended.version == *version)
                };
                let is_usable =
                    |instance: &&Arc<Instance>| state(instance).is_some_and(|s| !s.is_bad);
                let has_suspended = others.iter().any(is_usable);
                others.retain(|instance| state(instance).is_none());
                if !is_final && !others.is_empty() {
                    self.retain_warm(&mut targets, self.concentration(others.len()));
                }
                let slots = |instances: &[&Arc<Instance>]| -> f64 {
                    instances.iter().map(|instance| f64::from(instance.entry.slots)).sum()
                };
                let slots_ratio = slots(&targets) / slots(&others).max(1.0);
                let healthy =
                    targets.iter().filter(|instance| !instance.has_failed_recently(now_ms));
                let ids = healthy.map(|instance| Arc::clone(&instance.entry.id));
                (ids.collect::<Vec<InstanceId>>(), others.len(), has_suspended, slots_ratio)
            });
        let usable = UsableVersions {
            old: old > 0,
            suspended: has_suspended,
            target: targets.iter().any(|id| !excluded.contains(id)),
            slots_ratio,
        };
        let route = RouteKey::from(&*inbound.route);
        let choice = self.with(|rollouts, now_ms| {
            let mut pass = lock(&inbound.rollout);
            rollouts.choose(service, route, &mut pass, required, usable, now_ms)
        });
        match choice {
            Some(VersionChoice::Without(versions)) => VersionRule::Without(versions),
            Some(VersionChoice::Prefer { is_concentrated, .. }) if usable.target => {
                targets.sort_by_cached_key(|id| (instance_hash(id), Arc::clone(id)));
                if is_concentrated {
                    targets.retain(|id| !excluded.contains(id));
                    targets.truncate(self.concentration(old));
                }
                VersionRule::Among(targets)
            }
            _ => VersionRule::Any,
        }
    }

    /// Whether a request may be sent to `instance` now, whatever was decided before. Counts the send.
    pub(crate) fn permits(
        &self,
        inbound: &Inbound,
        instance: &Instance,
        required: Option<&SoftwareVersion>,
    ) -> bool {
        let version = &instance.entry.software_version;
        let permitted = self.with(|rollouts, now_ms| {
            let mut pass = lock(&inbound.rollout);
            let route = RouteKey::from(&*inbound.route);
            rollouts.permit(&inbound.service, route, &mut pass, version, required, now_ms)
        });
        if self.is_target(&inbound.service, version) {
            let permitted = permitted.unwrap_or(true).to_string();
            metrics::counter!("rollout_sends_total", "permitted" => permitted).increment(1);
        }
        permitted.unwrap_or(true)
    }

    /// Takes note of the registry entry of an instance.
    pub(crate) fn record_entry(&self, entry: &InstanceEntry) {
        if self.enabled.get().is_some() {
            lock(&self.cold).record(entry, self.clock.now_ms());
        }
    }

    /// Number of instances that get the requests for a version under evaluation beside `old` instances of other versions.
    fn concentration(&self, old: usize) -> usize {
        let share = self.enabled.get().map_or(0.0, |enabled| enabled.bounds.exposure_share);
        ((old as f64 * share * LOAD_MARGIN).ceil() as usize).max(1)
    }

    /// Removes the instances that are still slow after their start: they show nothing of their version, and would only cost
    /// exposure. Removes all if too few are left of the `count` that are to get requests, which would have too much load.
    fn retain_warm(&self, targets: &mut Vec<&Arc<Instance>>, count: usize) {
        let (cold, now_ms) = (lock(&self.cold), self.clock.now_ms());
        let all = targets.len();
        targets.retain(|instance| !cold.is_cold(&instance.entry.id, now_ms));
        if targets.len() < all && targets.len() < count.div_ceil(MIN_WARM_DIVISOR) {
            targets.clear();
        }
    }

    /// Whether an instance is still slow after its start.
    fn is_cold(&self, instance: &Instance) -> bool {
        lock(&self.cold).is_cold(&instance.entry.id, self.clock.now_ms())
    }

    /// Whether `version` is the target of the service's order.
    fn is_target(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let is_target = self.with(|rollouts, _| {
            rollouts.state(service).is_some_and(|(target, _)| target == version)
        });
        is_target.unwrap_or(false)
    }

    /// Observes a request that is sent to `instance`; `None` if rollouts are not in force.
    pub(crate) fn observe(
        self: &Arc<Self>,
        inbound: &Inbound,
        instance: &Instance,
        is_stream: bool,
        is_resumed: bool,
    ) -> Option<Observation> {
        let request = || NewRequest {
            service: inbound.service.clone(),
            route: RouteKey::from(&*inbound.route),
            version: instance.entry.software_version.clone(),
            instance: Arc::clone(&instance.entry.id),
            is_stream,
            is_resumed,
            is_cold: self.is_cold(instance),
            target_latency_ms: inbound.target_latency_ms,
        };
        let number = self.with(|rollouts, now_ms| rollouts.begin(request(), now_ms))?;
        Some(Observation::new(Arc::clone(self), number))
    }

    /// Logs that a call finds no instance, if a rollout is the reason.
    pub(crate) fn log_refusal(&self, core: &Core, inbound: &Inbound, rule: &VersionRule) {
        let excluded = core.with_registry(|registry, _| {
            let mut serving = registry.serving_versions(&inbound.service);
            serving.find(|version| rule.excludes(version)).cloned()
        });
        if let Some(version) = excluded {
            let id = inbound.id_text();
            log::info!("call: id={id} refused, reason=rollout version={version}");
            metrics::counter!("rollout_refusals_total").increment(1);
        }
    }

    /// Takes note that a list of all items is about to be applied, which may lack orders.
    pub(crate) fn begin_list(&self) {
        self.is_unconfirmed.store(true, Ordering::Relaxed);
    }

    /// Takes note of the services whose items are in a list, after these were applied.
    pub(crate) fn end_list(&self, listed: &ListedServices, is_restored: bool) {
        self.with(|rollouts, _| rollouts.note_listed(listed, is_restored));
    }

    /// Takes note that the watch after the last list has responded, and that its changes were applied.
    pub(crate) fn confirm_list(&self) {
        self.is_unconfirmed.store(false, Ordering::Relaxed);
        for service in self.with(|rollouts, _| rollouts.confirm_list()).unwrap_or_default() {
            log::info!("rollout: service={service} ends, its order was removed");
        }
    }

    /// Applies an order that was written at `revision`.
    pub(crate) fn apply_order(&self, order: RolloutOrder, revision: u64, origin: OrderOrigin) {
        let RolloutOrder { service, target, duration_ms } = order.clone();
        let change =
            self.with(|rollouts, now_ms| rollouts.apply_order(order, revision, origin, now_ms));
        match change {
            Some(OrderChange::Started) => {
                log::info!(
                    "rollout: service={service} begins, target={target} duration_ms={duration_ms} revision={revision}"
                );
                metrics::counter!("rollouts_started_total").increment(1);
                self.started.notify_one();
            }
            Some(OrderChange::Continued) => {
                log::info!("rollout: service={service} goes on, revision={revision}");
            }
            Some(OrderChange::Outdated) => {
                log::info!(
                    "rollout: service={service} stays as it is, the store holds an older order, revision={revision}"
                );
            }
            Some(OrderChange::Removed | OrderChange::None) | None => {}
        }
    }

    /// Removes the order of a service at `revision`.
    pub(crate) fn remove_order(&self, service: &ServiceName, revision: u64) {
        let change = self.with(|rollouts, _| rollouts.remove_order(service, revision));
        if change == Some(OrderChange::Removed) {
            log::info!("rollout: service={service} ends, its order was removed");
        }
    }

    /// Takes note of the status of a service in the store; `None` if there is none that can be read.
    pub(crate) fn apply_status(
        &self,
        service: &ServiceName,
        status: Option<RolloutStatus>,
        revision: u64,
    ) {
        self.with(|rollouts, now_ms| {
            rollouts.apply_status(service, status, revision, now_ms);
        });
    }

    /// Takes note that this daemon has made a write at `revision`.
    pub(crate) fn note_written(&self, write: StatusWrite, revision: u64) {
        self.with(|rollouts, now_ms| rollouts.note_written(write, revision, now_ms));
    }

    /// Replaces the list of daemons.
    pub(crate) fn set_daemons(&self, daemons: Vec<SocketAddr>) {
        *lock(&self.daemons) = daemons;
    }

    /// Whether a service has an order.
    pub fn has_order(&self, service: &ServiceName) -> bool {
        self.with(|rollouts, _| rollouts.has_order(service)).unwrap_or(false)
    }

    /// Whether a rollout runs, so that reports are exchanged.
    pub(crate) fn is_active(&self) -> bool {
        self.with(|rollouts, _| rollouts.is_active()).unwrap_or(false)
    }

    /// Judges the rollouts. Returns the reports and the verdicts that are to be sent, with the daemons that get them.
    pub(crate) fn tick(
        &self,
        own: Option<SocketAddr>,
    ) -> (Vec<Addressed<RolloutReport>>, Vec<Addressed<RolloutReply>>) {
        let daemons = lock(&self.daemons).clone();
        let due = self.with(|rollouts, now_ms| {
            let reports = rollouts.tick(&daemons, own, now_ms);
            (reports, rollouts.take_verdicts(&daemons, own, now_ms))
        });
        due.unwrap_or_default()
    }

    /// Keeps the report of another daemon. Returns the reply.
    pub(crate) fn merge_report(&self, report: RolloutReport) -> Option<RolloutReply> {
        self.with(|rollouts, now_ms| rollouts.merge_report(report, now_ms)).flatten()
    }

    /// Takes over what a judge knows.
    pub(crate) fn merge_reply(&self, reply: &RolloutReply) {
        self.with(|rollouts, now_ms| rollouts.merge_reply(reply, now_ms));
    }

    /// Write of a status that is due; `None` if none is.
    pub(crate) fn due_write(&self) -> Option<StatusWrite> {
        self.with(|rollouts, now_ms| rollouts.due_write(now_ms)).flatten()
    }
}

/// Rule for a service whose order may be missing: instances of the version that has the most.
fn most_common(registry: &Registry, service: &ServiceName) -> VersionRule {
    let mut ids: HashMap<&SoftwareVersion, Vec<InstanceId>> = HashMap::default();
    for instance in registry.of_service(service).iter() {
        let of_version = ids.entry(&instance.entry.software_version).or_default();
        of_version.push(Arc::clone(&instance.entry.id));
    }
    let has_several = ids.len() > 1;
    let largest = ids.into_iter().max_by_key(|(version, ids)| (ids.len(), version.as_str()));
    match largest {
        Some((_, ids)) if has_several => VersionRule::Among(ids),
        _ => VersionRule::Any,
    }
}

/// Hash of an instance's identifier, which is the same at all daemons.
fn instance_hash(id: &str) -> u64 {
    stable_hash(id)
}
