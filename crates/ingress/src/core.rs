//! State that all requests of a daemon share.

use crate::{
    config::{ClientLimits, Config, EngineConfig},
    dialect::Dialect,
    domain_losses::DomainLosses,
    fleet_size::FleetSize,
    instance::Instance,
    placement::Placement,
    registry::Registry,
    retry_lending::RetryLending,
    route_table::Route,
};
use base::{Clock, DomainName, HashMap, ServiceName, lock};
use limit::{RetryBudgetLimits, RetryBudgets, Urgency};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::index};
use recovery::{Policy, Timing, TimingSample, TimingTracker};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};
use tokio::sync::watch;
use web::ServerLimits;

/// Shortest and longest wait that the caller of a stream is told after a refusal. The range spreads the callers' return.
const STREAM_RETRY_AFTER_MS: (u64, u64) = (200, 900);

/// The same for calls, which callers wait for much shorter.
const CALL_RETRY_AFTER_MS: (u64, u64) = (50, 250);

/// Time after a loss in which more are expected. Failures come in series, and a failure domain that is unstable fails
/// again within some ten seconds.
const LOSSES_EXPECTED_MS: u64 = 30_000;

/// What the settings and the platform's bounds decide.
#[derive(Clone, Debug)]
pub struct CoreOptions {
    /// Failure domain of this daemon.
    pub domain: DomainName,
    /// Repeats that the fleet may send to a service.
    pub retries: RetryBudgetLimits,
    /// When a stream is taken over by another engine.
    pub stream_policy: Policy,
    /// Longest wait for an engine's report. An engine that does not answer by then is taken for dead.
    pub report_timeout_ms: u64,
    /// Time in which a change of the configuration or the instances must be in force.
    pub change_bound_ms: u64,
    /// Time after a stop in which new connections are still accepted.
    pub accept_after_stop_ms: u64,
    /// Time after a stop at which requests in flight are cut off.
    pub cut_after_stop_ms: u64,
    /// Seed of the choices.
    pub seed: u64,
}

/// State that all requests of a daemon share.
#[derive(Debug)]
pub struct Core {
    pub(crate) clock: Clock,
    pub(crate) dialect: Dialect,
    pub(crate) options: CoreOptions,
    config: Mutex<Option<Arc<Config>>>,
    registry: Mutex<Registry>,
    has_instances: AtomicBool,
    stopped_ms: OnceLock<u64>,
    fleet_size: Mutex<FleetSize>,
    daemons: Mutex<Vec<SocketAddr>>,
    retry_lending: OnceLock<Arc<RetryLending>>,
    budgets: RetryBudgets,
    trackers: Mutex<HashMap<ServiceName, TimingTracker>>,
    losses: Mutex<DomainLosses>,
    /// Until when more losses are to be expected.
    losses_until_ms: AtomicU64,
    changes: watch::Sender<()>,
    server_limits: watch::Sender<ServerLimits>,
    rng: Mutex<SmallRng>,
}

impl Core {
    /// State of a daemon that knows neither configuration nor instances.
    pub fn new(dialect: Dialect, options: CoreOptions) -> Self {
        Self {
            clock: Clock::start(),
            dialect,
            rng: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            server_limits: watch::Sender::new(server_limits(ClientLimits::default(), &options)),
            budgets: RetryBudgets::new(options.retries),
            options,
            config: Mutex::default(),
            registry: Mutex::default(),
            has_instances: AtomicBool::new(false),
            stopped_ms: OnceLock::new(),
            fleet_size: Mutex::default(),
            daemons: Mutex::default(),
            retry_lending: OnceLock::new(),
            trackers: Mutex::default(),
            losses: Mutex::default(),
            losses_until_ms: AtomicU64::new(0),
            changes: watch::Sender::new(()),
        }
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        lock(&self.config).clone()
    }

    /// Puts a configuration in force unless it is older than the one in force.
    pub fn install(&self, config: Config) {
        let mut current = lock(&self.config);
        let before = current.as_ref().map_or(0, |config| config.version);
        if current.is_some() && config.version <= before {
            log::info!("config: version={} is not newer than version={before}", config.version);
            return;
        }
        log::info!(
            "config: version={} in force, before={before} routes={} services={}",
            config.version,
            config.routes.len(),
            config.services.len()
        );
        metrics::gauge!("config_version").set(config.version as f64);
        self.server_limits.send_replace(server_limits(config.limits, &self.options));
        *current = Some(Arc::new(config));
    }

    /// Limits of the server towards callers. They follow the configuration in force.
    pub fn server_limits(&self) -> watch::Receiver<ServerLimits> {
        self.server_limits.subscribe()
    }

    /// Changes the instances.
    pub fn with_registry<T>(&self, change: impl FnOnce(&mut Registry, u64) -> T) -> T {
        change(&mut lock(&self.registry), self.clock.now_ms())
    }

    /// The list of instances was read whole once.
    pub fn mark_instances_listed(&self) {
        self.has_instances.store(true, Ordering::Relaxed);
    }

    /// Takes over the daemons that the platform lists, this one among them, by the addresses of their loan desks.
    pub fn set_daemons(&self, daemons: Vec<SocketAddr>) {
        lock(&self.fleet_size).set(daemons.len(), self.clock.now_ms());
        metrics::gauge!("daemons_listed").set(daemons.len() as f64);
        *lock(&self.daemons) = daemons;
    }

    /// Lets this daemon lend and borrow repeats.
    pub fn set_retry_lending(&self, lending: Arc<RetryLending>) {
        if self.retry_lending.set(lending).is_err() {
            log::warn!("loan: the daemon has a lending already");
        }
    }

    /// Whether a daemon that the platform lists has the address.
    pub(crate) fn is_peer(&self, addr: SocketAddr) -> bool {
        lock(&self.daemons).contains(&addr)
    }

    /// Up to `count` other daemons, drawn at random.
    pub(crate) fn random_peers(&self, count: usize) -> Vec<SocketAddr> {
        let own = self.retry_lending.get().and_then(|lending| lending.local_addr().ok());
        let daemons = lock(&self.daemons);
        let others: Vec<SocketAddr> =
            daemons.iter().copied().filter(|addr| Some(*addr) != own).collect();
        let drawn = index::sample(&mut *lock(&self.rng), others.len(), count.min(others.len()));
        drawn.into_iter().map(|i| others[i]).collect()
    }

    /// Takes a repeat from the budget for another daemon; whether there was one.
    pub(crate) fn lend(&self, service: &ServiceName, urgency: Urgency) -> bool {
        self.withdraw_own(service, urgency)
    }

    /// No new connection should come here any more.
    pub fn stop(&self) {
        self.stopped_ms.get_or_init(|| self.clock.now_ms());
    }

    /// Whether the daemon shuts down.
    pub fn is_stopping(&self) -> bool {
        self.stopped_ms.get().is_some()
    }

    /// Time until requests in flight are cut off, if the daemon shuts down.
    pub(crate) fn until_cut_ms(&self) -> Option<u64> {
        let cut_ms = self.stopped_ms.get()? + self.options.cut_after_stop_ms;
        Some(cut_ms.saturating_sub(self.clock.now_ms()))
    }

    /// Whether new connections should come here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.has_instances.load(Ordering::Relaxed)
            && lock(&self.config).is_some()
    }

    /// Chooses an instance of a service.
    pub(crate) fn place(
        &self,
        service: &ServiceName,
        placement: &Placement<'_>,
    ) -> Option<Arc<Instance>> {
        let now_ms = self.clock.now_ms();
        let mut registry = lock(&self.registry);
        if registry.expires_ms().is_some_and(|at_ms| at_ms <= now_ms) {
            registry.expire(now_ms);
        }
        let losses = lock(&self.losses);
        let domain = &self.options.domain;
        let mut rng = lock(&self.rng);
        placement.choose(registry.of_service(service), domain, &losses, now_ms, &mut *rng)
    }

    /// Chooses up to `count` different instances of a service.
    pub(crate) fn place_some(
        &self,
        service: &ServiceName,
        placement: &Placement<'_>,
        count: usize,
    ) -> Vec<Arc<Instance>> {
        let mut excluded = placement.excluded.to_vec();
        let mut placed = Vec::with_capacity(count);
        while placed.len() < count {
            let placement = Placement { excluded: &excluded, ..*placement };
            let Some(instance) = self.place(service, &placement) else { break };
            excluded.push(Arc::clone(&instance.entry.id));
            placed.push(instance);
        }
        placed
    }

    /// Rules of the engines of a service; none if it has no engines.
    pub(crate) fn engine_config(&self, service: &ServiceName) -> Option<EngineConfig> {
        self.config()?.services.get(service)?.engine
    }

    /// Counts a request for a service.
    pub(crate) fn deposit(&self, service: &ServiceName) {
        self.budgets.deposit(service, self.clock.now_ms());
    }

    /// Whether the budget of a service, or that of another daemon, allows one send more.
    pub(crate) async fn withdraw(&self, service: &ServiceName, urgency: Urgency) -> bool {
        if self.withdraw_own(service, urgency) {
            return true;
        }
        let is_lent = match self.retry_lending.get() {
            Some(lending) => lending.borrow(self, service, urgency).await,
            None => false,
        };
        if !is_lent {
            metrics::counter!("retry_budget_exhausted_total").increment(1);
        }
        is_lent
    }

    fn withdraw_own(&self, service: &ServiceName, urgency: Urgency) -> bool {
        let now_ms = self.clock.now_ms();
        let daemons = lock(&self.fleet_size).get(now_ms);
        self.budgets.try_withdraw(service, daemons, urgency, now_ms)
    }

    /// Gives back a send that did not happen.
    pub(crate) fn refund(&self, service: &ServiceName) {
        self.budgets.refund(service, self.clock.now_ms());
    }

    /// Usual times of a service's streams.
    pub(crate) fn timing(&self, service: &ServiceName) -> Timing {
        lock(&self.trackers).get(service).map_or_else(Timing::default, TimingTracker::timing)
    }

    /// Learns from a stream's event.
    pub(crate) fn observe(&self, service: &ServiceName, sample: TimingSample) {
        self.with_tracker(service, |tracker| match sample {
            TimingSample::Gap(gap_ms) => tracker.observe_gap(gap_ms),
            TimingSample::FirstToken(wait_ms) => tracker.observe_first_token(wait_ms),
        });
    }

    /// Learns from a stream that was carried from its first event to its end.
    pub(crate) fn observe_whole(&self, service: &ServiceName, duration_ms: u64) {
        self.with_tracker(service, |tracker| tracker.observe_generation(duration_ms));
    }

    fn with_tracker(&self, service: &ServiceName, change: impl FnOnce(&mut TimingTracker)) {
        let mut trackers = lock(&self.trackers);
        match trackers.get_mut(service) {
            Some(tracker) => change(tracker),
            None => change(trackers.entry(service.clone()).or_default()),
        }
    }

    /// Takes over that an attempt was lost through the instance's fault.
    pub(crate) fn lost(&self, instance: &Instance) {
        let now_ms = self.clock.now_ms();
        instance.failed(now_ms);
        self.losses_until_ms.store(now_ms + LOSSES_EXPECTED_MS, Ordering::Relaxed);
        let mut losses = lock(&self.losses);
        let had_failed = losses.has_failed(&instance.entry.domain, now_ms);
        losses.add(&instance.entry.domain, &instance.entry.id, now_ms);
        let has_failed = losses.has_failed(&instance.entry.domain, now_ms);
        drop(losses);
        if has_failed && !had_failed {
            log::info!("instances: domain={} seems to have failed", instance.entry.domain);
        }
        self.instances_changed();
    }

    /// Whether attempts were lost lately, so that more losses are to be expected.
    pub(crate) fn has_recent_losses(&self) -> bool {
        self.clock.now_ms() < self.losses_until_ms.load(Ordering::Relaxed)
    }

    /// Lets all relays look at their engines again.
    pub(crate) fn instances_changed(&self) {
        self.changes.send_replace(());
    }

    /// Whether an instance of a failure domain was lost a short while ago.
    pub(crate) fn has_loss(&self, domain: &DomainName) -> bool {
        lock(&self.losses).has_loss(domain, self.clock.now_ms())
    }

    /// Signals that instances were lost, replaced or removed.
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Time after which the caller of a call that was refused may come again.
    pub(crate) fn call_retry_after_ms(&self) -> u64 {
        self.jitter_ms(CALL_RETRY_AFTER_MS.0, CALL_RETRY_AFTER_MS.1)
    }

    /// Time after which the caller of a stream that was refused may come again.
    pub(crate) fn stream_retry_after_ms(&self) -> u64 {
        self.jitter_ms(STREAM_RETRY_AFTER_MS.0, STREAM_RETRY_AFTER_MS.1)
    }

    /// Draws from `low_ms` to `high_ms`.
    pub(crate) fn jitter_ms(&self, low_ms: u64, high_ms: u64) -> u64 {
        lock(&self.rng).random_range(low_ms..=high_ms.max(low_ms))
    }

    /// Draws the service of a request.
    pub(crate) fn pick_service<'a>(&self, route: &'a Route) -> Option<&'a ServiceName> {
        route.pick_service(&mut *lock(&self.rng))
    }
}

fn server_limits(limits: ClientLimits, options: &CoreOptions) -> ServerLimits {
    ServerLimits {
        headers_wait_ms: limits.headers_timeout_ms,
        idle_wait_ms: limits.idle_timeout_ms,
        headers_size_bytes: limits.max_headers_bytes,
        accept_after_stop_ms: options.accept_after_stop_ms,
        cut_after_stop_ms: Some(options.cut_after_stop_ms),
    }
}
