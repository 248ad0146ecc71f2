//! Shared state of a daemon: active configuration, instances, retry budgets, timing statistics and recent losses.

use crate::{
    config::{ClientLimits, Config, ServiceConfig},
    config_share::ConfigShare,
    crash_check::CrashChecks,
    crash_quarantine::{CrashQuarantine, ServiceEvidence, Subject},
    dialect::Dialect,
    domain_losses::DomainLosses,
    fleet_size::FleetSize,
    inbound::Inbound,
    instance::Instance,
    instance_entry::{InstanceEntry, InstanceId},
    instance_limits::InstanceLimits,
    peer_message::PeerMessage,
    peer_socket::PeerSocket,
    placement::Placement,
    registry::Registry,
    response_head::{stated_pause_ms, states_leaving},
    restarts::Restarts,
    rollout_control::RolloutControl,
    route_table::Route,
    stream_queues::StreamQueues,
    version_affinity::VersionAffinity,
};
use affinity::{Origin, ServiceVersion};
use base::{Clock, DomainName, HashMap, HashSet, ServiceName, lock};
use hyper::{HeaderMap, StatusCode};
use limit::{RetryBudgetLimits, RetryBudgets, Urgency};
use quarantine::Admission;
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::index};
use recovery::{Policy, Timing, TimingSample, TimingTracker};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{sync::watch, time::Instant};
use web::{ByteAccount, ServerLimits};

/// Shortest and longest `Retry-After` of a refused stream. A random value from the range spreads the retries of
/// callers.
const STREAM_RETRY_AFTER_MS: (u64, u64) = (200, 900);

/// Shortest and longest `Retry-After` of a refused call. Callers wait much less time for a call than for a stream.
const CALL_RETRY_AFTER_MS: (u64, u64) = (50, 250);

/// How long more losses are expected after the loss of an instance. Failures come in series, and an unstable
/// failure domain fails again within some ten seconds.
const EXPECT_LOSSES_MS: u64 = 30_000;

/// Time from the start of the daemon in which requests wait for the first configuration.
const START_WAIT_MS: u64 = 300;

/// Time before the abort of the requests in flight at which those without an answer get one, in milliseconds. It is for
/// writing the answers.
const LAST_ANSWERS_MS: u64 = 200;

/// Time from the start of the shutdown in which a request is accepted if it will probably end in time, in milliseconds.
/// The load balancer needs about 3 s to send no more requests; later ones must be sure to end.
const PROBABLE_MS: u64 = 2_900;

/// Options of a daemon, from its settings and the platform's limits.
#[derive(Clone, Debug)]
pub struct CoreOptions {
    /// Failure domain that the daemon runs in.
    pub domain: DomainName,
    /// Limits of the retry budget that the whole fleet has for each service.
    pub retries: RetryBudgetLimits,
    /// Policy by which a stream is given up at one engine and resumes at another.
    pub stream_policy: Policy,
    /// Longest wait for an engine's load report. An engine that does not respond in this time gets no new request, and
    /// is replaced if another one can go on with its requests.
    pub report_timeout_ms: u64,
    /// Time within which a change of the configuration or the instances must be active. Changes are collected into
    /// batches for a quarter of this time, but for at least 100 ms and at most 1,000 ms.
    pub change_bound_ms: u64,
    /// How long new connections are still accepted after the start of the shutdown.
    pub accept_after_stop_ms: u64,
    /// Timeout of requests in flight, counted from the start of the shutdown; they are aborted after it.
    pub cut_after_stop_ms: u64,
    /// Shortest time from the end of an instance to the start of one of another service at its address; 0 if that may be
    /// at once.
    pub reuse_after_ms: u64,
    /// Largest number of bytes that are kept for all connections and requests in flight.
    pub kept_bytes: usize,
    /// Seed of the random number generator, which picks instances, peers and delays.
    pub seed: u64,
}

/// State that all requests of a daemon use concurrently.
#[derive(Debug)]
pub struct Core {
    pub(crate) clock: Clock,
    pub(crate) dialect: Dialect,
    pub(crate) options: CoreOptions,
    config: Mutex<Option<Arc<Config>>>,
    pub(crate) config_share: ConfigShare,
    registry: Mutex<Registry>,
    /// Whether the configuration and the instances have been up to date since the daemon started.
    has_caught_up: watch::Sender<bool>,
    /// Start of the shutdown on `clock`; `None` before it.
    stopped_ms: watch::Sender<Option<u64>>,
    fleet_size: Mutex<FleetSize>,
    /// Peer addresses of all listed daemons, including this one.
    daemons: Mutex<Vec<SocketAddr>>,
    pub(crate) peer_socket: OnceLock<Arc<PeerSocket>>,
    budgets: RetryBudgets,
    /// Timing statistics of the streams of each service.
    trackers: Mutex<HashMap<ServiceName, TimingTracker>>,
    losses: Mutex<DomainLosses>,
    /// Bytes that are kept for connections and requests in flight.
    pub kept_bytes: Arc<ByteAccount>,
    /// Limits that instances name.
    limits: InstanceLimits,
    /// Parts of prompts that crash engines.
    pub(crate) part_quarantine: CrashQuarantine,
    /// Requests that crash upstreams.
    pub(crate) request_quarantine: CrashQuarantine,
    /// Checks of upstreams that cut requests off.
    pub(crate) crash_checks: CrashChecks,
    /// Streams that wait for an engine.
    pub(crate) stream_queues: Arc<StreamQueues>,
    /// Software versions at which streams began.
    pub(crate) versions: VersionAffinity,
    /// Instances that have restarted while the store does not respond.
    pub(crate) restarts: Restarts,
    /// Rollouts of software versions.
    pub rollouts: Arc<RolloutControl>,
    /// Time on `clock` until which more losses are expected.
    losses_until_ms: AtomicU64,
    /// Notifies stream relays that instances were lost, replaced or removed.
    instance_changes: watch::Sender<()>,
    server_limits: watch::Sender<ServerLimits>,
    rng: Mutex<SmallRng>,
}

impl Core {
    /// Creates the state of a daemon that has no configuration and no instances yet.
    pub fn new(dialect: Dialect, options: CoreOptions) -> Self {
        let spread = options.seed as f64 / u64::MAX as f64;
        Self {
            clock: Clock::start(),
            dialect,
            limits: InstanceLimits::default(),
            part_quarantine: CrashQuarantine::new(Subject::Parts, spread),
            request_quarantine: CrashQuarantine::new(Subject::Requests, spread),
            crash_checks: CrashChecks::default(),
            stream_queues: Arc::default(),
            versions: VersionAffinity::new(options.seed),
            restarts: Restarts::new(options.reuse_after_ms),
            rollouts: Arc::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            server_limits: watch::Sender::new(ClientLimits::default().server_limits(&options)),
            budgets: RetryBudgets::new(options.retries),
            kept_bytes: Arc::new(ByteAccount::new(options.kept_bytes)),
            options,
            config: Mutex::default(),
            config_share: ConfigShare::default(),
            registry: Mutex::default(),
            has_caught_up: watch::Sender::new(false),
            stopped_ms: watch::Sender::new(None),
            fleet_size: Mutex::default(),
            daemons: Mutex::default(),
            peer_socket: OnceLock::new(),
            trackers: Mutex::default(),
            losses: Mutex::default(),
            losses_until_ms: AtomicU64::new(0),
            instance_changes: watch::Sender::new(()),
        }
    }

    /// Sets the gauges that describe the daemon at the moment.
    pub fn record_gauges(&self) {
        metrics::gauge!("kept_bytes").set(self.kept_bytes.held_bytes() as f64);
        metrics::gauge!("streams_waiting").set(self.stream_queues.len() as f64);
    }

    /// Number of bytes that are kept for requests in flight now.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes.held_bytes()
    }

    /// Active configuration; `None` until one is installed.
    pub fn config(&self) -> Option<Arc<Config>> {
        lock(&self.config).clone()
    }

    /// Activates a configuration if none is active yet or if its version is higher than the active one, and ignores it
    /// otherwise.
    pub fn install(&self, config: Config) {
        let mut current = lock(&self.config);
        let before = current.as_ref().map_or(0, |config| config.version);
        if current.is_some() && config.version <= before {
            log::info!("config: version={} is not newer than version={before}", config.version);
            return;
        }
        log::info!(
            "config: version={} is active, before={before} routes={} services={}",
            config.version,
            config.routes.len(),
            config.services.len()
        );
        metrics::gauge!("config_version").set(config.version as f64);
        self.server_limits.send_replace(config.limits.server_limits(&self.options));
        *current = Some(Arc::new(config));
    }

    /// Limits of the server for callers, updated with each configuration that is activated.
    pub fn server_limits(&self) -> watch::Receiver<ServerLimits> {
        self.server_limits.subscribe()
    }

    /// Locks the registry of instances, and returns what `change` returns for the registry and the current time.
    pub fn with_registry<T>(&self, change: impl FnOnce(&mut Registry, u64) -> T) -> T {
        change(&mut lock(&self.registry), self.clock.now_ms())
    }

    /// Records that the configuration and the instances are up to date, which the daemon needs to serve requests.
    pub fn mark_caught_up(&self) {
        self.has_caught_up.send_replace(true);
    }

    /// Active configuration; `None` until the daemon has caught up with the platform. The first list that a daemon
    /// reads may be old, and hold keys that were withdrawn and instances that have left.
    pub(crate) fn current_config(&self) -> Option<Arc<Config>> {
        self.config().filter(|_| *self.has_caught_up.borrow())
    }

    /// Like `current_config`, but waits for the daemon to catch up if it has just started. That usually takes some
    /// milliseconds, while a caller that is refused comes back later or not at all.
    pub(crate) async fn wait_for_config(&self) -> Option<Arc<Config>> {
        let end = Instant::from_std(self.clock.instant_at(START_WAIT_MS));
        let mut has_caught_up = self.has_caught_up.subscribe();
        // A timeout leaves the decision to the state that the daemon has then.
        let _ = tokio::time::timeout_at(end, has_caught_up.wait_for(|&is_done| is_done)).await;
        self.current_config()
    }

    /// Waits until the configuration and the instances have been up to date once.
    pub(crate) async fn wait_until_caught_up(&self) {
        let mut has_caught_up = self.has_caught_up.subscribe();
        // The sender lives as long as `self`.
        let _ = has_caught_up.wait_for(|&is_done| is_done).await;
    }

    /// Takes note of the software versions that `entries` of instances of services with streams have.
    pub(crate) fn add_listed_versions(&self, entries: &[InstanceEntry]) {
        let Some(config) = self.config() else { return };
        let streaming: HashSet<&ServiceName> = config.routes.streaming_services().collect();
        let of_streams = entries.iter().filter(|entry| streaming.contains(&entry.service));
        let listed = of_streams.map(|entry| ServiceVersion {
            service: entry.service.clone(),
            version: entry.software_version.clone(),
        });
        self.versions.insert_listed(listed.collect());
    }

    /// Takes note of the software versions that the instances of services with streams have.
    pub(crate) fn update_listed_versions(&self) {
        let Some(config) = self.config() else { return };
        let registry = lock(&self.registry);
        let listed = config.routes.streaming_services().flat_map(|service| {
            registry.versions_of(service).map(|version| ServiceVersion {
                service: service.clone(),
                version: version.clone(),
            })
        });
        let listed = listed.collect();
        drop(registry);
        self.versions.set_listed(listed);
    }

    /// Records that the stream `id` began at a software version.
    pub fn record_stream(&self, id: &str, software: ServiceVersion) {
        self.versions.record(id, software);
    }

    /// Finds out at which software version the stream `id` of a service began. `None` stands for a stream without a
    /// record.
    pub async fn stream_origin(&self, service: &ServiceName, id: Option<&str>) -> Origin {
        self.versions.find_origin(service, id, u64::MAX).await
    }

    /// Replaces the list of daemons. `daemons` holds their peer addresses, including that of this daemon.
    pub fn set_daemons(&self, daemons: Vec<SocketAddr>) {
        lock(&self.fleet_size).set(daemons.len(), self.clock.now_ms());
        metrics::gauge!("daemons_listed").set(daemons.len() as f64);
        self.limits.set_daemons(&daemons);
        *lock(&self.daemons) = daemons;
    }

    /// Enables messages to other daemons, such as the borrowing of retries. Only the first call has an effect.
    pub fn set_peer_socket(&self, socket: Arc<PeerSocket>) {
        if let Ok(addr) = socket.local_addr() {
            self.limits.set_own(addr);
        }
        if self.peer_socket.set(socket).is_err() {
            log::warn!("peers: the socket is already set");
        }
    }

    /// Number of listed daemons; at least 1.
    pub fn listed_daemons(&self) -> usize {
        lock(&self.daemons).len().max(1)
    }

    /// Whether a listed daemon has the peer address `addr`.
    pub(crate) fn is_peer(&self, addr: SocketAddr) -> bool {
        lock(&self.daemons).contains(&addr)
    }

    /// Peer addresses of `count` other daemons, picked at random; of all others if fewer are listed.
    pub(crate) fn random_peers(&self, count: usize) -> Vec<SocketAddr> {
        let own = self.peer_socket.get().and_then(|socket| socket.local_addr().ok());
        let daemons = lock(&self.daemons);
        let others: Vec<SocketAddr> =
            daemons.iter().copied().filter(|addr| Some(*addr) != own).collect();
        self.sample(&others, count)
    }

    /// Peer addresses of `count` other daemons that use the limit of `instance`, picked at random.
    pub(crate) fn random_limit_users(&self, instance: &str, count: usize) -> Vec<SocketAddr> {
        self.sample(&self.limits.users(instance, self.fleet_size()), count)
    }

    fn sample(&self, addrs: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let picked = index::sample(&mut *lock(&self.rng), addrs.len(), count.min(addrs.len()));
        picked.into_iter().map(|i| addrs[i]).collect()
    }

    /// Withdraws a retry from this daemon's budget for another daemon. Returns whether the budget sufficed.
    pub(crate) fn lend_retry(&self, service: &ServiceName, urgency: Urgency) -> bool {
        self.withdraw_own(service, urgency)
    }

    /// Starts the shutdown: the daemon is no longer ready for new connections.
    pub fn stop(&self) {
        self.stopped_ms.send_if_modified(|stopped_ms| {
            let is_first = stopped_ms.is_none();
            stopped_ms.get_or_insert_with(|| self.clock.now_ms());
            is_first
        });
    }

    /// Whether the daemon is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopped_ms.borrow().is_some()
    }

    /// Whether the shutdown has lasted so long that a request is accepted only if it is sure to end in time.
    pub(crate) fn is_late_in_shutdown(&self) -> bool {
        let stopped_ms = *self.stopped_ms.borrow();
        stopped_ms.is_some_and(|at_ms| self.clock.now_ms() > at_ms + PROBABLE_MS)
    }

    /// Time on `clock` at which requests get their last answers, for a shutdown that started at `stopped_ms`.
    fn last_answers_ms(&self, stopped_ms: u64) -> u64 {
        stopped_ms + self.options.cut_after_stop_ms.saturating_sub(LAST_ANSWERS_MS)
    }

    /// Time until requests get their last answers before they are aborted; `None` if the daemon is not shutting down.
    pub(crate) fn time_until_last_answers_ms(&self) -> Option<u64> {
        let at_ms = self.last_answers_ms((*self.stopped_ms.borrow())?);
        Some(at_ms.saturating_sub(self.clock.now_ms()))
    }

    /// Waits until requests get their last answers before the shutdown aborts them. Never returns without a shutdown.
    pub(crate) async fn wait_for_last_answers(&self) {
        let mut stopped = self.stopped_ms.subscribe();
        let stopped_ms = stopped.wait_for(Option::is_some).await.ok().and_then(|at_ms| *at_ms);
        if let Some(stopped_ms) = stopped_ms {
            let at = self.clock.instant_at(self.last_answers_ms(stopped_ms));
            tokio::time::sleep_until(Instant::from_std(at)).await;
        }
    }

    /// Time until a request must have its answer: its deadline, or the last answers of a shutdown.
    pub(crate) fn left_ms(&self, inbound: &Inbound) -> u64 {
        let left_ms = inbound.left_ms(self.clock.now_ms());
        self.time_until_last_answers_ms().map_or(left_ms, |ms| ms.min(left_ms))
    }

    /// Whether the daemon is ready for new connections: it has a configuration and the instances, and is not shutting
    /// down.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.current_config().is_some()
    }

    /// Chooses an instance of a service; `None` if none meets the constraints of `placement`.
    pub(crate) fn choose_instance(
        &self,
        service: &ServiceName,
        placement: &Placement<'_>,
    ) -> Option<Arc<Instance>> {
        let now_ms = self.clock.now_ms();
        let mut registry = lock(&self.registry);
        if registry.next_expiry_ms().is_some_and(|at_ms| at_ms <= now_ms) {
            registry.expire(now_ms);
        }
        let instances = registry.of_service(service);
        let losses = lock(&self.losses);
        let domain = &self.options.domain;
        let mut rng = lock(&self.rng);
        if self.limits.is_empty(now_ms) {
            return placement.choose(instances, domain, &losses, now_ms, &mut *rng);
        }
        let daemons = self.fleet_size();
        let is_open = |instance: &&Arc<Instance>| self.limits.allows(instance, daemons, now_ms);
        let open: Vec<Arc<Instance>> = instances.iter().filter(is_open).cloned().collect();
        placement.choose(&open, domain, &losses, now_ms, &mut *rng)
    }

    /// The instance of a service that meets the constraints and takes a request soonest, and the time until then;
    /// `None` if none meets the constraints, or this daemon has no share in their limits.
    pub(crate) fn soonest_instance(
        &self,
        service: &ServiceName,
        placement: &Placement<'_>,
    ) -> Option<(Arc<Instance>, u64)> {
        let daemons = self.fleet_size();
        let waits = self.usable_instances(service, placement).into_iter().filter_map(|instance| {
            let wait_ms = self.limits.wait_ms(&instance, daemons, self.clock.now_ms())?;
            Some((instance, wait_ms))
        });
        waits.min_by_key(|(_, wait_ms)| *wait_ms)
    }

    /// Borrows a request from another daemon for an instance of a service whose limit leaves none to this daemon.
    /// Returns that instance; `None` if no request was lent.
    pub(crate) async fn borrow_instance(
        &self,
        service: &ServiceName,
        placement: &Placement<'_>,
    ) -> Option<Arc<Instance>> {
        let instances = self.usable_instances(service, placement);
        let position = self.random_number() as usize % instances.len().max(1);
        let instance = instances.get(position)?;
        if !self.limits.may_borrow(instance, self.clock.now_ms()) {
            return None;
        }
        let socket = self.peer_socket.get()?;
        if socket.borrow_request(self, &instance.entry.id).await {
            return Some(Arc::clone(instance));
        }
        self.limits.pause_borrowing(instance, self.clock.now_ms());
        None
    }

    /// Whether all instances of a service that meet the constraints have used up this daemon's share in their limits.
    pub(crate) fn is_limited(&self, service: &ServiceName, placement: &Placement<'_>) -> bool {
        !self.limits.is_empty(self.clock.now_ms())
            && self.choose_instance(service, placement).is_none()
            && !self.usable_instances(service, placement).is_empty()
    }

    /// Instances of a service that meet the constraints, whatever their limits are.
    fn usable_instances(
        &self,
        service: &ServiceName,
        placement: &Placement<'_>,
    ) -> Vec<Arc<Instance>> {
        let registry = lock(&self.registry);
        let instances = registry.of_service(service).iter();
        instances.filter(|instance| placement.is_met_by(instance)).cloned().collect()
    }

    /// Records the limit in requests per second that an answer of an instance names; `None` if it names none.
    pub(crate) fn record_limit(&self, instance: &Instance, rate_per_s: Option<f64>) {
        self.limits.record(instance, rate_per_s, self.fleet_size(), self.clock.now_ms());
    }

    /// Records what an answer of an instance states about the instance itself: that it leaves, or that it wants no
    /// requests for some time.
    pub(crate) fn record_statements(
        &self,
        instance: &Instance,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        if status == StatusCode::SERVICE_UNAVAILABLE
            && let Some(pause_ms) = stated_pause_ms(headers)
        {
            self.limits.record_pause(instance, pause_ms, self.clock.now_ms());
        }
        if !states_leaving(headers, &self.dialect) || !instance.leave() {
            return;
        }
        let entry = &instance.entry;
        log::info!("instances: {} states that it leaves, service={}", entry.id, entry.service);
        metrics::counter!("instances_leaving_total").increment(1);
        lock(&self.registry).record_leaving(entry);
        self.notify_instances_changed();
    }

    /// Whether an instance takes a request now, by its entry and by what it has stated in its answers.
    pub(crate) fn may_send(&self, instance: &Instance) -> bool {
        instance.accepts_requests() && self.limits.pause_ms(instance, self.clock.now_ms()) == 0
    }

    /// Whether the limit of an instance leaves a request to this daemon.
    pub(crate) fn allows_request(&self, instance: &Instance) -> bool {
        self.limits.allows(instance, self.fleet_size(), self.clock.now_ms())
    }

    /// Uses up a request of this daemon's share in the limit of an instance.
    pub(crate) fn take_request(&self, instance: &Instance) {
        self.limits.take(instance);
    }

    /// Uses up a request of this daemon's share in the limit of an instance for another daemon. Returns whether there
    /// was one.
    pub(crate) fn lend_request(&self, instance: &str) -> bool {
        self.limits.lend(instance, self.fleet_size(), self.clock.now_ms())
    }

    /// Forgets what instances stated a long time ago on the requests that they want.
    pub(crate) fn forget_limits(&self) {
        self.limits.forget(self.clock.now_ms());
    }

    /// Number of daemons among which the limits of the fleet are divided.
    fn fleet_size(&self) -> usize {
        lock(&self.fleet_size).get(self.clock.now_ms())
    }

    /// Chooses `count` different instances of a service; fewer if no more of them meet the constraints.
    pub(crate) fn choose_instances(
        &self,
        service: &ServiceName,
        placement: &Placement<'_>,
        count: usize,
    ) -> Vec<Arc<Instance>> {
        let mut excluded = placement.excluded.to_vec();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count {
            let placement = Placement { excluded: &excluded, ..*placement };
            let Some(instance) = self.choose_instance(service, &placement) else { break };
            excluded.push(Arc::clone(&instance.entry.id));
            chosen.push(instance);
        }
        chosen
    }

    /// Whether instances of a service meet the constraints except for the software version, and none has the required
    /// one. Without any instance, the version may return with the instances.
    pub(crate) fn has_only_other_versions(
        &self,
        service: &ServiceName,
        placement: &Placement<'_>,
    ) -> bool {
        let any_version = Placement { required_version: None, version_rule: None, ..*placement };
        placement.required_version.is_some()
            && self.usable_instances(service, placement).is_empty()
            && !self.usable_instances(service, &any_version).is_empty()
    }

    /// Chooses up to `count` engines of a service for a stream. A new stream, which requires no version, begins at a
    /// version that takes new streams if there is such an engine.
    pub(crate) fn choose_stream_candidates(
        &self,
        service: &ServiceName,
        placement: &Placement<'_>,
        count: usize,
    ) -> Vec<Arc<Instance>> {
        if placement.required_version.is_none() {
            let avoided = self.versions.avoided(&self.usable_instances(service, placement));
            if !avoided.is_empty() {
                let excluded = [placement.excluded, &avoided].concat();
                let placement = Placement { excluded: &excluded, ..*placement };
                let chosen = self.choose_spread(service, &placement, count);
                if !chosen.is_empty() {
                    return chosen;
                }
            }
        }
        self.choose_spread(service, placement, count)
    }

    /// Chooses up to `count` engines of a service for a stream, of which one is in the daemon's own failure domain and
    /// the others are outside it, as far as there are such engines.
    ///
    /// The stream and its KV cache replica can then be in two domains of which one is that of the daemon, so that the
    /// stream survives both the loss of the own domain's engines and a partition of the own domain from the others.
    fn choose_spread(
        &self,
        service: &ServiceName,
        placement: &Placement<'_>,
        count: usize,
    ) -> Vec<Arc<Instance>> {
        let own = &self.options.domain;
        let has_own_failed = lock(&self.losses).has_failed(own, self.clock.now_ms());
        let local = Placement { required_domain: Some(own), ..*placement };
        let mut chosen = match has_own_failed {
            true => Vec::new(),
            false => self.choose_instances(service, &local, 1),
        };
        let remote = Placement { excluded_domain: Some(own), ..*placement };
        chosen.extend(self.choose_instances(service, &remote, count - chosen.len()));
        let ids = chosen.iter().map(|instance| Arc::clone(&instance.entry.id));
        let excluded: Vec<InstanceId> = placement.excluded.iter().cloned().chain(ids).collect();
        let any = Placement { excluded: &excluded, ..*placement };
        chosen.extend(self.choose_instances(service, &any, count - chosen.len()));
        chosen
    }

    /// Properties of a service; those of one without engines if it is unknown.
    pub(crate) fn service_config(&self, service: &ServiceName) -> ServiceConfig {
        self.config().map_or_else(ServiceConfig::default, |config| config.service(service))
    }

    /// Counts a new request of a caller, which adds `retries.ratio` retries to the service's budget.
    pub(crate) fn deposit(&self, service: &ServiceName) {
        self.budgets.deposit(service, self.clock.now_ms());
    }

    /// Withdraws a retry from the service's budget, or borrows one from another daemon. Returns whether the request may
    /// be sent again.
    pub(crate) async fn withdraw(&self, service: &ServiceName, urgency: Urgency) -> bool {
        if self.withdraw_own(service, urgency) {
            return true;
        }
        let is_lent = match self.peer_socket.get() {
            Some(socket) => socket.borrow(self, service, urgency).await,
            None => false,
        };
        if !is_lent {
            metrics::counter!("retry_budget_exhausted_total").increment(1);
        }
        is_lent
    }

    /// Withdraws a retry from this daemon's budget. Returns whether the budget sufficed.
    fn withdraw_own(&self, service: &ServiceName, urgency: Urgency) -> bool {
        self.budgets.try_withdraw(service, self.fleet_size(), urgency, self.clock.now_ms())
    }

    /// Refunds a withdrawn retry that was not sent.
    pub(crate) fn refund(&self, service: &ServiceName) {
        self.budgets.refund(service, self.clock.now_ms());
    }

    /// Timing statistics of the service's streams; the default ones before the first sample.
    pub(crate) fn timing(&self, service: &ServiceName) -> Timing {
        lock(&self.trackers).get(service).map_or_else(Timing::default, TimingTracker::timing)
    }

    /// Adds a sample to the timing statistics of the service's streams.
    pub(crate) fn observe(&self, service: &ServiceName, sample: TimingSample) {
        self.with_tracker(service, |tracker| match sample {
            TimingSample::Gap(gap_ms) => tracker.observe_gap(gap_ms),
            TimingSample::FirstToken(wait_ms) => tracker.observe_first_token(wait_ms),
        });
    }

    /// Adds the duration of a complete stream, which was relayed from its first event to its end.
    pub(crate) fn observe_complete_stream(&self, service: &ServiceName, duration_ms: u64) {
        self.with_tracker(service, |tracker| tracker.observe_generation(duration_ms));
    }

    fn with_tracker(&self, service: &ServiceName, change: impl FnOnce(&mut TimingTracker)) {
        let mut trackers = lock(&self.trackers);
        match trackers.get_mut(service) {
            Some(tracker) => change(tracker),
            None => change(trackers.entry(service.clone()).or_default()),
        }
    }

    /// Records that an attempt failed through the fault of the instance.
    pub(crate) fn record_loss(&self, instance: &Instance) {
        let now_ms = self.clock.now_ms();
        instance.record_failure(now_ms);
        self.losses_until_ms.store(now_ms + EXPECT_LOSSES_MS, Ordering::Relaxed);
        let mut losses = lock(&self.losses);
        let had_failed = losses.has_failed(&instance.entry.domain, now_ms);
        losses.add(&instance.entry.domain, &instance.entry.id, now_ms);
        let has_failed = losses.has_failed(&instance.entry.domain, now_ms);
        drop(losses);
        if has_failed && !had_failed {
            log::info!("instances: domain={} seems to have failed", instance.entry.domain);
        }
        self.notify_instances_changed();
    }

    /// Decides whether a request may be sent to an upstream, by what is requested and by the parts of its prompt.
    pub(crate) fn admit(&self, inbound: &Inbound) -> (Subject, Admission) {
        let now_ms = self.clock.now_ms();
        let service = &inbound.service;
        if !self.request_quarantine.is_empty(service) {
            let request = [inbound.fingerprint()];
            let daemons = self.fleet_size();
            let admission = self.request_quarantine.admit(service, &request, daemons, now_ms);
            if admission != Admission::Allowed {
                return (Subject::Requests, admission);
            }
        }
        if inbound.shared_parts.is_empty() {
            return (Subject::Parts, Admission::Allowed);
        }
        let parts = &inbound.shared_parts;
        (Subject::Parts, self.part_quarantine.admit(service, parts, self.fleet_size(), now_ms))
    }

    /// Whether other daemons have sent their evidence on crashes since this one started.
    pub(crate) fn has_heard_evidence(&self) -> bool {
        self.part_quarantine.has_heard() && self.request_quarantine.has_heard()
    }

    /// Whether some evidence on crashes was not sent to other daemons yet.
    pub(crate) fn has_unsent_evidence(&self) -> bool {
        self.part_quarantine.has_unsent() || self.request_quarantine.has_unsent()
    }

    /// Evidence on crashes that was not sent to other daemons yet, as messages.
    pub(crate) fn evidence_news(&self) -> Vec<PeerMessage> {
        let now_ms = self.clock.now_ms();
        let parts = self.part_quarantine.news(now_ms);
        let requests = self.request_quarantine.news(now_ms);
        vec![PeerMessage::Evidence(parts), PeerMessage::RequestEvidence(requests)]
    }

    /// Known evidence on crashes for another daemon, as messages.
    pub(crate) fn evidence(&self) -> Vec<PeerMessage> {
        let offset = self.random_number() as usize;
        let now_ms = self.clock.now_ms();
        let parts = self.part_quarantine.evidence(offset, now_ms);
        let requests = self.request_quarantine.evidence(offset, now_ms);
        vec![PeerMessage::Evidence(parts), PeerMessage::RequestEvidence(requests)]
    }

    /// Message with the digests of the evidence on crashes.
    pub(crate) fn evidence_digest(&self) -> PeerMessage {
        PeerMessage::EvidenceDigest {
            parts: self.part_quarantine.digest(),
            requests: self.request_quarantine.digest(),
        }
    }

    /// Forgets evidence on crashes that is too old.
    pub(crate) fn expire_evidence(&self) {
        let now_ms = self.clock.now_ms();
        if self.part_quarantine.expire(now_ms) | self.request_quarantine.expire(now_ms) {
            self.notify_instances_changed();
        }
    }

    /// Merges the evidence of another daemon.
    pub(crate) fn merge_evidence(&self, subject: Subject, message: Vec<ServiceEvidence>) {
        let quarantine = match subject {
            Subject::Parts => &self.part_quarantine,
            Subject::Requests => &self.request_quarantine,
        };
        if quarantine.merge(message, self.clock.now_ms()) {
            self.notify_instances_changed();
        }
    }

    /// Whether instances were lost recently, so that more losses are expected.
    pub(crate) fn has_recent_losses(&self) -> bool {
        self.clock.now_ms() < self.losses_until_ms.load(Ordering::Relaxed)
    }

    /// Notifies all stream relays, so that they check their engines again.
    pub(crate) fn notify_instances_changed(&self) {
        self.instance_changes.send_replace(());
    }

    /// Whether at least one instance of the failure domain was lost recently.
    pub(crate) fn has_loss(&self, domain: &DomainName) -> bool {
        lock(&self.losses).has_loss(domain, self.clock.now_ms())
    }

    /// Subscribes to the notifications that instances were lost, replaced or removed.
    pub(crate) fn instance_changes(&self) -> watch::Receiver<()> {
        self.instance_changes.subscribe()
    }

    /// Random time after which the caller of a refused call may retry.
    pub(crate) fn call_retry_after_ms(&self) -> u64 {
        self.jitter_ms(CALL_RETRY_AFTER_MS.0, CALL_RETRY_AFTER_MS.1)
    }

    /// Random time after which the caller of a refused stream may retry.
    pub(crate) fn stream_retry_after_ms(&self) -> u64 {
        self.jitter_ms(STREAM_RETRY_AFTER_MS.0, STREAM_RETRY_AFTER_MS.1)
    }

    /// Random number that another process cannot guess soon.
    pub(crate) fn random_number(&self) -> u64 {
        lock(&self.rng).random()
    }

    /// Random time from `low_ms` to `high_ms`, inclusive.
    pub(crate) fn jitter_ms(&self, low_ms: u64, high_ms: u64) -> u64 {
        lock(&self.rng).random_range(low_ms..=high_ms.max(low_ms))
    }

    /// Picks the service of a request at random by weight; `None` if no weight is above zero. A request that takes up the
    /// stream of the caller's attempt `resumes` goes to the service at which the stream began.
    pub(crate) fn pick_service<'a>(
        &self,
        route: &'a Route,
        resumes: Option<&str>,
    ) -> Option<&'a ServiceName> {
        let begun_at = resumes.and_then(|id| self.versions.service(id));
        let mut services = route.services.iter().filter(|(_, weight)| *weight > 0);
        let recorded = services.find(|(service, _)| Some(service) == begun_at.as_ref());
        match recorded {
            Some((service, _)) => Some(service),
            None => route.pick_service(&mut *lock(&self.rng)),
        }
    }
}
