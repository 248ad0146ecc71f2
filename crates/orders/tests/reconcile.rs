//! Guards against engines that don't converge to the desired state, loads in excess of the pacing, and the unloading of
//! versions that generations are pinned to, under late orders, lost answers, restarts and unreadable engines.

use base::{HashSet, ModelName, ServiceName, VersionName, VmId};
use fleet::{
    Document, EngineRole as ConfiguredRole, Model, OrderChecks, RoleCount, Service, ServiceKind,
};
use orders::{LoadPacing, OrderRules, Reconciler};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use wire::engine::{EngineRole, EngineState, LoadedVersion, OrderAction};

/// Number of engines of the service.
const ENGINES: usize = 5;

/// Duration of a load in milliseconds.
const LOAD_MS: u64 = 1_500;

/// Interval of the holder's rounds in milliseconds.
const ROUND_MS: u64 = 500;

/// Seed of the random schedules.
const SEED: u64 = 20_261_204;

const PACING: LoadPacing = LoadPacing {
    max_loads: 2,
    load_interval_ms: 200,
    pending_timeout_ms: 1_000,
    unknown_timeout_ms: 3_000,
    unload_delay_ms: 2_000,
    shift_pct: 80,
};

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The holder runs a round. The order to `lost_engine` is lost before or after its effect; there is no such order
    /// if the number isn't that of an engine.
    Round { lost_engine: usize, has_effect: bool },
    /// The holder will be paused when it sends its next order to this engine. The order arrives at `DeliverLateOrder`.
    PauseAtOrder(usize),
    /// The late order arrives, after a successor with a higher token has started.
    DeliverLateOrder,
    /// An engine restarts without loaded versions.
    Restart(usize),
    /// The state of an engine becomes readable or unreadable.
    Reachable(usize, bool),
    /// The operator changes the version for new generations.
    ChangeVersion(usize),
    /// The pins change: generations are pinned to a version or to none, or the pins are unknown.
    SetPins(usize),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = usize::arbitrary(g);
        let engine = number % ENGINES;
        match u8::arbitrary(g) % 16 {
            0..=8 => {
                Self::Round { lost_engine: number % (ENGINES * 3), has_effect: bool::arbitrary(g) }
            }
            9 => Self::PauseAtOrder(engine),
            10 => Self::DeliverLateOrder,
            11 => Self::Restart(engine),
            12 => Self::Reachable(engine, bool::arbitrary(g)),
            13 => Self::ChangeVersion(number % 3),
            _ => Self::SetPins(number % 5),
        }
    }
}

/// Simulated engine, which checks the fencing token or ignores it.
#[derive(Clone, Debug, Default)]
struct Engine {
    loaded: Vec<LoadedVersion>,
    loading: Vec<(LoadedVersion, u64)>,
    role: EngineRole,
    highest_token: u64,
    checks_token: bool,
    is_unreachable: bool,
}

impl Engine {
    fn apply_order(&mut self, token: u64, actions: &[OrderAction], now_ms: u64) {
        if self.checks_token && token < self.highest_token {
            return;
        }
        self.highest_token = self.highest_token.max(token);
        for action in actions {
            match action {
                OrderAction::SetLoaded { versions } => {
                    self.loaded.retain(|version| versions.contains(version));
                    self.loading.retain(|(version, _)| versions.contains(version));
                    for version in versions {
                        let is_loading = self.loading.iter().any(|(known, _)| known == version);
                        if !self.loaded.contains(version) && !is_loading {
                            self.loading.push((version.clone(), now_ms + LOAD_MS));
                        }
                    }
                }
                OrderAction::SetRole { role } => self.role = *role,
                _ => unreachable!("the holder orders desired states only"),
            }
        }
    }

    /// Completes the loads that have ended by `now_ms`.
    fn advance_to(&mut self, now_ms: u64) {
        let done = self.loading.iter().filter(|(_, end_ms)| *end_ms <= now_ms);
        self.loaded.extend(done.map(|(version, _)| version.clone()));
        self.loading.retain(|(_, end_ms)| *end_ms > now_ms);
    }

    fn state(&self) -> Option<EngineState> {
        let loading = self.loading.iter().map(|(version, _)| version.clone()).collect();
        let loaded = Some(self.loaded.clone());
        let state = EngineState { loaded, loading, role: self.role, ..EngineState::default() };
        (!self.is_unreachable).then_some(state)
    }

    fn has_loaded(&self, version: &str) -> bool {
        self.loaded.iter().any(|loaded| loaded.version == version)
    }
}

fn model_name() -> ModelName {
    ModelName::try_from("composer").unwrap()
}

fn service_name() -> ServiceName {
    ServiceName::try_from("composer").unwrap()
}

fn version_name(number: usize) -> VersionName {
    VersionName::try_from(format!("v{number}")).unwrap()
}

fn engine_id(number: usize) -> VmId {
    VmId::try_from(format!("engine-{number}")).unwrap()
}

/// Simulation of a holder and the engines of its service.
struct Simulation {
    now_ms: u64,
    /// Fencing token of the current holder.
    token: u64,
    document: Document,
    pinned: Option<HashSet<(ModelName, VersionName)>>,
    engines: Vec<Engine>,
    reconciler: Reconciler,
    /// Engine at whose next order the holder is paused.
    pause_at: Option<usize>,
    /// Engine, fencing token and actions of the late order of a paused holder.
    late_order: Option<(usize, u64, Vec<OrderAction>)>,
    /// Time until which the load that a late order started may exceed the pacing.
    late_load_until_ms: u64,
}

impl Simulation {
    fn new(checks_token: bool) -> Self {
        let service = Service::new(&service_name(), ServiceKind::Generation);
        let mut model = Model::new(&model_name(), &service.name, &version_name(0));
        model.roles = vec![RoleCount { role: ConfiguredRole::Decode, engines: 2 }];
        let document =
            Document { services: vec![service], models: vec![model], ..Document::default() };
        let engine = Engine { checks_token, ..Engine::default() };
        Self {
            now_ms: 0,
            token: 1,
            document,
            pinned: Some(HashSet::default()),
            engines: vec![engine; ENGINES],
            reconciler: Reconciler::new(&service_name(), PACING, None, 0),
            pause_at: None,
            late_order: None,
            late_load_until_ms: 0,
        }
    }

    fn loading_count(&self) -> usize {
        self.engines.iter().filter(|engine| !engine.loading.is_empty()).count()
    }

    /// Replaces the holder by a new one with a higher fencing token.
    fn start_successor(&mut self) {
        self.token += 1;
        let record = self.reconciler.serving_record(self.token);
        self.reconciler = Reconciler::new(&service_name(), PACING, Some(&record), self.now_ms);
    }

    /// Runs a round of the holder, and returns whether the holder respected the pacing and the pinned versions.
    fn round(&mut self, lost_engine: usize, has_effect: bool) -> bool {
        self.now_ms += ROUND_MS;
        let ids: Vec<VmId> = (0..ENGINES).map(engine_id).collect();
        self.reconciler.set_engines(&ids, self.now_ms);
        for (number, engine) in self.engines.iter_mut().enumerate() {
            engine.advance_to(self.now_ms);
            self.reconciler.observe(&ids[number], engine.state(), self.now_ms);
        }
        let before: Vec<Engine> = self.engines.clone();
        let commands = self.reconciler.commands(&self.document, &self.pinned, self.now_ms);
        let mut is_paused = false;
        for command in commands {
            let number = ids.iter().position(|id| *id == command.engine).unwrap();
            if self.pause_at == Some(number) {
                self.pause_at = None;
                self.late_order = Some((number, self.token, command.actions));
                is_paused = true;
                break;
            }
            if number != lost_engine || has_effect {
                self.engines[number].apply_order(self.token, &command.actions, self.now_ms);
            }
        }
        let excess_loads = usize::from(self.now_ms < self.late_load_until_ms);
        let holds =
            self.loading_count() <= PACING.max_loads + excess_loads && self.keeps_pinned(&before);
        if is_paused {
            self.start_successor();
        }
        holds
    }

    /// Returns whether every pinned version that an engine had loaded in `before` is still loaded there. While the pins
    /// are unknown, every version counts as pinned.
    fn keeps_pinned(&self, before: &[Engine]) -> bool {
        let is_pinned = |version: &str| match &self.pinned {
            None => true,
            Some(pinned) => pinned.iter().any(|(_, pin)| pin.as_str() == version),
        };
        before.iter().zip(&self.engines).all(|(before, after)| {
            let mut lost =
                before.loaded.iter().filter(|version| !after.has_loaded(&version.version));
            lost.all(|version| !is_pinned(&version.version))
        })
    }

    /// Applies an event, and returns whether the holder respected the pacing and the pinned versions.
    fn apply(&mut self, event: Event) -> bool {
        match event {
            Event::Round { lost_engine, has_effect } => {
                return self.round(lost_engine, has_effect);
            }
            Event::PauseAtOrder(engine) => self.pause_at = Some(engine),
            Event::DeliverLateOrder => {
                if let Some((engine, token, actions)) = self.late_order.take() {
                    self.late_load_until_ms = self.now_ms + LOAD_MS;
                    self.engines[engine].apply_order(token, &actions, self.now_ms);
                }
            }
            Event::Restart(engine) => {
                let checks_token = self.engines[engine].checks_token;
                self.engines[engine] = Engine { checks_token, ..Engine::default() };
            }
            Event::Reachable(engine, is_reachable) => {
                self.engines[engine].is_unreachable = !is_reachable;
            }
            Event::ChangeVersion(number) => {
                let version = version_name(number);
                let model = &mut self.document.models[0];
                if model.version != version {
                    let replaced = std::mem::replace(&mut model.version, version.clone());
                    model.older_versions.retain(|older| *older != version);
                    model.older_versions.push(replaced);
                }
            }
            Event::SetPins(number) => {
                self.pinned = match number {
                    4 => None,
                    3 => Some(HashSet::default()),
                    _ => Some([(model_name(), version_name(number))].into_iter().collect()),
                };
            }
        }
        true
    }

    /// Returns whether every engine has loaded exactly the configured version, the roles are as configured, and new
    /// generations use the configured version.
    fn has_converged(&self) -> bool {
        let configured = self.document.models[0].version.as_str();
        let long_count =
            self.engines.iter().filter(|engine| engine.role == EngineRole::Long).count();
        long_count == 2
            && self.engines.iter().all(|engine| {
                engine.loading.is_empty()
                    && engine.loaded.len() == 1
                    && engine.has_loaded(configured)
            })
            && self.reconciler.serving_record(0).version(&model_name()).unwrap().as_str()
                == configured
    }
}

/// Applies events, and then runs enough rounds without faults for all engines to converge. Returns whether the holder
/// respected the pacing and the pinned versions, and the engines converged.
fn passes(checks_token: bool, events: Vec<Event>) -> bool {
    let mut simulation = Simulation::new(checks_token);
    if !events.into_iter().all(|event| simulation.apply(event)) {
        return false;
    }
    let is_valid = simulation.apply(Event::DeliverLateOrder);
    simulation.apply(Event::SetPins(3));
    simulation.pause_at = None;
    for engine in &mut simulation.engines {
        engine.is_unreachable = false;
    }
    is_valid && (0..60).all(|_| simulation.round(ENGINES, true)) && simulation.has_converged()
}

#[test]
fn engines_converge_without_loads_in_excess_of_the_pacing() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(800)
        .max_tests(800)
        .quickcheck(passes as fn(bool, Vec<Event>) -> bool);
}

#[test]
fn a_late_order_at_an_engine_that_ignores_the_token_is_corrected_within_the_bound() {
    let mut simulation = Simulation::new(false);
    for _ in 0..40 {
        assert!(simulation.round(ENGINES, true));
    }
    assert!(simulation.has_converged());
    let late_order = vec![OrderAction::SetLoaded { versions: Vec::new() }];
    simulation.engines[3].apply_order(0, &late_order, simulation.now_ms);
    assert!(!simulation.has_converged());
    let rules = OrderRules::new(OrderChecks::default(), ROUND_MS);
    let arrived_ms = simulation.now_ms;
    while simulation.engines[3].loading.is_empty() {
        assert!(simulation.now_ms < arrived_ms + rules.correction_bound_ms(250, 1));
        assert!(simulation.round(ENGINES, true));
    }
    assert!(simulation.now_ms <= arrived_ms + rules.correction_bound_ms(250, 1));
}

#[test]
fn upstreams_that_check_only_the_token_or_the_sender_get_the_stricter_rules() {
    let strict = OrderRules::new(OrderChecks::default(), ROUND_MS);
    for (checks_fencing_token, checks_sender) in [(true, false), (false, true)] {
        let checks = OrderChecks { checks_fencing_token, checks_sender };
        assert_eq!(OrderRules::new(checks, ROUND_MS), strict);
    }
    let checks = OrderChecks { checks_fencing_token: true, checks_sender: true };
    assert!(OrderRules::new(checks, ROUND_MS).parallel_orders > strict.parallel_orders);
}

#[test]
fn new_generations_use_the_old_version_until_enough_engines_serve_the_new_one() {
    let mut simulation = Simulation::new(false);
    for _ in 0..40 {
        simulation.round(ENGINES, true);
    }
    simulation.apply(Event::SetPins(0));
    simulation.apply(Event::ChangeVersion(1));
    // Number of engines that had loaded v1 when new generations first used it.
    let mut shifted_with = None;
    for _ in 0..40 {
        assert!(simulation.round(ENGINES, true));
        let serving = simulation.reconciler.serving_record(0);
        let count = simulation.engines.iter().filter(|engine| engine.has_loaded("v1")).count();
        if serving.version(&model_name()).unwrap().as_str() == "v1" {
            shifted_with.get_or_insert(count);
        }
        assert!(simulation.engines.iter().all(|engine| engine.has_loaded("v0")));
    }
    assert!(shifted_with.is_some_and(|count| count >= 4), "{shifted_with:?}");
    simulation.apply(Event::SetPins(3));
    for _ in 0..20 {
        simulation.round(ENGINES, true);
    }
    assert!(simulation.has_converged());
}
