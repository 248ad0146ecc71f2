//! Guards against engines that do not reach the wanted state, loads beyond the pacing, and the loss of a version that
//! generations are pinned to, under late orders, lost answers, restarts and unreadable engines.

use base::{HashSet, ModelName, ServiceName, VersionName, VmId};
use fleet::{
    Document, EngineRole as WantedRole, Model, OrderChecks, RoleCount, Service, ServiceKind,
};
use orders::{LoadPacing, OrderRules, Reconciler};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use wire::engine::{EngineRole, EngineState, LoadedVersion, OrderAction};

/// Engines of the service.
const ENGINES: usize = 5;

/// Time that a load takes.
const LOAD_MS: u64 = 1_500;

/// Time between two rounds of the holder.
const ROUND_MS: u64 = 500;

/// Seed of the schedules.
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
    /// The holder runs a round; the order to this engine is lost before or after its effect.
    Round { lost_engine: usize, has_effect: bool },
    /// The holder is paused: its next order to this engine is under way until `Late`.
    Pause(usize),
    /// The late order arrives after a successor with a larger token has begun.
    Late,
    /// An engine restarts with nothing loaded.
    Restart(usize),
    /// An engine can be read, or cannot.
    Reachable(usize, bool),
    /// The operator chooses the version for new generations.
    Change(usize),
    /// Generations are pinned to a version, or to none, or nothing is known.
    Pin(usize),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = usize::arbitrary(g);
        let engine = number % ENGINES;
        match u8::arbitrary(g) % 16 {
            0..=8 => {
                Self::Round { lost_engine: number % (ENGINES * 3), has_effect: bool::arbitrary(g) }
            }
            9 => Self::Pause(engine),
            10 => Self::Late,
            11 => Self::Restart(engine),
            12 => Self::Reachable(engine, bool::arbitrary(g)),
            13 => Self::Change(number % 3),
            _ => Self::Pin(number % 5),
        }
    }
}

/// Engine that ignores the fencing token or checks it.
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
    fn follow(&mut self, token: u64, actions: &[OrderAction], now_ms: u64) {
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
                _ => unreachable!("the holder orders whole end states"),
            }
        }
    }

    fn pass(&mut self, now_ms: u64) {
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

    fn has(&self, version: &str) -> bool {
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

struct World {
    now_ms: u64,
    token: u64,
    document: Document,
    pinned: Option<HashSet<(ModelName, VersionName)>>,
    engines: Vec<Engine>,
    reconciler: Reconciler,
    pause_at: Option<usize>,
    late: Option<(usize, u64, Vec<OrderAction>)>,
    /// Until when the load that the late order of a paused holder began may exceed the pacing.
    late_load_until_ms: u64,
}

impl World {
    fn new(checks_token: bool) -> Self {
        let service = Service::new(&service_name(), ServiceKind::Generation);
        let mut model = Model::new(&model_name(), &service.name, &version_name(0));
        model.roles = vec![RoleCount { role: WantedRole::Decode, engines: 2 }];
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
            late: None,
            late_load_until_ms: 0,
        }
    }

    fn loads(&self) -> usize {
        self.engines.iter().filter(|engine| !engine.loading.is_empty()).count()
    }

    fn begin_successor(&mut self) {
        self.token += 1;
        let record = self.reconciler.serving_record(self.token);
        self.reconciler = Reconciler::new(&service_name(), PACING, Some(&record), self.now_ms);
    }

    /// One round; whether the pacing and the pinned versions were respected.
    fn round(&mut self, lost_engine: usize, has_effect: bool) -> bool {
        self.now_ms += ROUND_MS;
        let ids: Vec<VmId> = (0..ENGINES).map(engine_id).collect();
        self.reconciler.set_engines(&ids, self.now_ms);
        for (number, engine) in self.engines.iter_mut().enumerate() {
            engine.pass(self.now_ms);
            self.reconciler.observe(&ids[number], engine.state(), self.now_ms);
        }
        let before: Vec<Engine> = self.engines.clone();
        let commands = self.reconciler.commands(&self.document, &self.pinned, self.now_ms);
        let mut is_paused = false;
        for command in commands {
            let number = ids.iter().position(|id| *id == command.engine).unwrap();
            if self.pause_at == Some(number) {
                self.pause_at = None;
                self.late = Some((number, self.token, command.actions));
                is_paused = true;
                break;
            }
            if number != lost_engine || has_effect {
                self.engines[number].follow(self.token, &command.actions, self.now_ms);
            }
        }
        let late_loads = usize::from(self.now_ms < self.late_load_until_ms);
        let holds = self.loads() <= PACING.max_loads + late_loads && self.keeps_pinned(&before);
        if is_paused {
            self.begin_successor();
        }
        holds
    }

    /// Whether no round removed a version that is pinned or may be.
    fn keeps_pinned(&self, before: &[Engine]) -> bool {
        let is_pinned = |version: &str| match &self.pinned {
            None => true,
            Some(pinned) => pinned.iter().any(|(_, pin)| pin.as_str() == version),
        };
        before.iter().zip(&self.engines).all(|(before, after)| {
            let mut lost = before.loaded.iter().filter(|version| !after.has(&version.version));
            lost.all(|version| !is_pinned(&version.version))
        })
    }

    fn run(&mut self, event: Event) -> bool {
        match event {
            Event::Round { lost_engine, has_effect } => {
                return self.round(lost_engine, has_effect);
            }
            Event::Pause(engine) => self.pause_at = Some(engine),
            Event::Late => {
                if let Some((engine, token, actions)) = self.late.take() {
                    self.late_load_until_ms = self.now_ms + LOAD_MS;
                    self.engines[engine].follow(token, &actions, self.now_ms);
                }
            }
            Event::Restart(engine) => {
                let checks_token = self.engines[engine].checks_token;
                self.engines[engine] = Engine { checks_token, ..Engine::default() };
            }
            Event::Reachable(engine, is_reachable) => {
                self.engines[engine].is_unreachable = !is_reachable;
            }
            Event::Change(number) => {
                let version = version_name(number);
                let model = &mut self.document.models[0];
                if model.version != version {
                    let before = std::mem::replace(&mut model.version, version.clone());
                    model.older_versions.retain(|older| *older != version);
                    model.older_versions.push(before);
                }
            }
            Event::Pin(number) => {
                self.pinned = match number {
                    4 => None,
                    3 => Some(HashSet::default()),
                    _ => Some([(model_name(), version_name(number))].into_iter().collect()),
                };
            }
        }
        true
    }

    /// Whether every engine has exactly the wanted version and the roles are as wanted.
    fn has_converged(&self) -> bool {
        let wanted = self.document.models[0].version.as_str();
        let long = self.engines.iter().filter(|engine| engine.role == EngineRole::Long).count();
        long == 2
            && self.engines.iter().all(|engine| {
                engine.loading.is_empty() && engine.loaded.len() == 1 && engine.has(wanted)
            })
            && self.reconciler.serving_record(0).version(&model_name()).unwrap().as_str() == wanted
    }
}

fn holds(checks_token: bool, events: Vec<Event>) -> bool {
    let mut world = World::new(checks_token);
    if !events.into_iter().all(|event| world.run(event)) {
        return false;
    }
    let is_quiet = world.run(Event::Late);
    world.run(Event::Pin(3));
    world.pause_at = None;
    for engine in &mut world.engines {
        engine.is_unreachable = false;
    }
    is_quiet && (0..60).all(|_| world.round(ENGINES, true)) && world.has_converged()
}

#[test]
fn engines_converge_without_more_loads_than_the_pacing() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(800)
        .max_tests(800)
        .quickcheck(holds as fn(bool, Vec<Event>) -> bool);
}

#[test]
fn a_late_order_at_an_engine_that_ignores_the_token_is_corrected_within_the_bound() {
    let mut world = World::new(false);
    for _ in 0..40 {
        assert!(world.round(ENGINES, true));
    }
    assert!(world.has_converged());
    let stale = vec![OrderAction::SetLoaded { versions: Vec::new() }];
    world.engines[3].follow(0, &stale, world.now_ms);
    assert!(!world.has_converged());
    let rules = OrderRules::new(OrderChecks::default(), ROUND_MS);
    let arrived_ms = world.now_ms;
    while world.engines[3].loading.is_empty() {
        assert!(world.now_ms < arrived_ms + rules.correction_bound_ms(250, 1));
        assert!(world.round(ENGINES, true));
    }
    assert!(world.now_ms <= arrived_ms + rules.correction_bound_ms(250, 1));
}

#[test]
fn upstreams_that_check_only_one_of_token_and_sender_get_the_stricter_rules() {
    let strict = OrderRules::new(OrderChecks::default(), ROUND_MS);
    for (checks_fencing_token, checks_sender) in [(true, false), (false, true)] {
        let behaviour = OrderChecks { checks_fencing_token, checks_sender };
        assert_eq!(OrderRules::new(behaviour, ROUND_MS), strict);
    }
    let behaviour = OrderChecks { checks_fencing_token: true, checks_sender: true };
    assert!(OrderRules::new(behaviour, ROUND_MS).parallel_orders > strict.parallel_orders);
}

#[test]
fn new_generations_stay_on_the_old_version_until_enough_engines_have_the_new_one() {
    let mut world = World::new(false);
    for _ in 0..40 {
        world.round(ENGINES, true);
    }
    world.run(Event::Pin(0));
    world.run(Event::Change(1));
    let mut shifted_with = None;
    for _ in 0..40 {
        assert!(world.round(ENGINES, true));
        let serving = world.reconciler.serving_record(0);
        let count = world.engines.iter().filter(|engine| engine.has("v1")).count();
        if serving.version(&model_name()).unwrap().as_str() == "v1" {
            shifted_with.get_or_insert(count);
        }
        assert!(world.engines.iter().all(|engine| engine.has("v0")));
    }
    assert!(shifted_with.is_some_and(|count| count >= 4), "{shifted_with:?}");
    world.run(Event::Pin(3));
    for _ in 0..20 {
        world.round(ENGINES, true);
    }
    assert!(world.has_converged());
}
