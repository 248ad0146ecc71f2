//! Rollout of many daemons without a network.
#![allow(dead_code)]

use base::ServiceName;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rollout::{
    NewRequest, OrderOrigin, Pass, RolloutBounds, RolloutOrder, RolloutReply, RolloutReport,
    RolloutState, RolloutStatus, Rollouts, RouteKey, UsableVersions, VersionChoice,
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// Time in which the daemons serve before the order.
pub const WARM_UP_MS: u64 = 15_000;

/// Time between two steps of the play.
const STEP_MS: u64 = 10;

/// What is wrong with the target version.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    None,
    /// Answers with errors with this probability.
    Errors(f64),
    /// Takes this many times as long.
    Slow(f64),
}

/// Requests of one route.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: &'static str,
    pub per_s: f64,
    pub is_stream: bool,
    /// Share of ordinary errors.
    pub errors: f64,
}

/// Slow start of the instances of the target version, each of which starts up to 1 s after the order.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Time after its start for which an instance is slow.
    pub duration_ms: u64,
    /// Number of times as long that its answers take.
    pub factor: f64,
    /// Whether the registry entries state the time.
    pub is_stated: bool,
}

/// What happens in a rollout.
#[derive(Clone, Debug)]
pub struct Scene {
    pub daemons: u16,
    pub duration_ms: u64,
    pub routes: Vec<Route>,
    pub old_instances: usize,
    pub target_instances: usize,
    pub fault: Fault,
    /// Only route that the fault is on; `None` for all.
    pub fault_route: Option<&'static str>,
    /// Time since the order from which the fault shows.
    pub fault_after_ms: u64,
    /// Number of requests in flight at an instance from which the fault shows.
    pub fault_load: u32,
    pub slow_start: Option<SlowStart>,
    /// Time since the order at which a third of the instances and daemons is lost for 1.2 s; `None` for never.
    pub crash_ms: Option<u64>,
    /// Whether the store accepts no writes and reports none after the order.
    pub store_is_silent: bool,
    /// Number of judges that stop 2 s after the order.
    pub dead_judges: usize,
    pub seed: u64,
}

/// How a rollout went.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub state: Option<RolloutState>,
    /// Time since the order of the last status.
    pub state_ms: u64,
    /// Requests and sends to the target version within the time limit.
    pub requests: u64,
    pub sends: u64,
    /// Time since the order of the fiftieth bad answer.
    pub fiftieth_bad_ms: Option<u64>,
    pub last_send_ms: u64,
    /// Requests that ran at old versions when the rollout was completed.
    pub cut_off: usize,
    /// Whether a daemon found the version bad, and not only without enough evidence.
    pub is_found_bad: bool,
}

impl Outcome {
    /// Whether the target version got no more requests than allowed, and none later than allowed.
    pub fn is_exposure_kept(&self) -> bool {
        let is_late =
            self.fiftieth_bad_ms.is_some_and(|at| self.last_send_ms > at + BOUNDS.rollback_ms);
        let allowed = BOUNDS.exposure_share * self.requests as f64 + BOUNDS.exposure_slack;
        self.sends as f64 <= allowed && !is_late
    }

    /// Whether a bad version was found in time.
    pub fn is_rolled_back(&self) -> bool {
        let is_rolled_back = self.state == Some(RolloutState::RolledBack);
        self.is_exposure_kept() && is_rolled_back && self.is_found_bad
    }
}

pub fn streams(per_s: f64) -> Vec<Route> {
    let route = |name, part| Route { name, per_s: per_s * part, is_stream: true, errors: 0.004 };
    vec![route("large", 0.93), route("small", 0.07)]
}

pub fn calls() -> Vec<Route> {
    let route = |name, per_s, errors| Route { name, per_s, is_stream: false, errors };
    vec![route("read", 95.0, 0.14), route("book", 137.0, 0.004)]
}

pub fn scene(routes: Vec<Route>, fault: Fault, seed: u64) -> Scene {
    let is_stream = routes[0].is_stream;
    Scene {
        daemons: 89,
        duration_ms: 12_000 + seed % 5 * 1_000,
        routes,
        old_instances: if is_stream { 120 } else { 7 },
        target_instances: if is_stream { 120 } else { 7 },
        fault,
        fault_route: None,
        fault_after_ms: 0,
        fault_load: 0,
        slow_start: None,
        crash_ms: None,
        store_is_silent: false,
        dead_judges: 0,
        seed,
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Answer { has_failed: bool },
    Part,
    End,
}

enum Message {
    Report(RolloutReport),
    Reply(RolloutReply),
}

struct Open {
    daemon: usize,
    number: u64,
    instance: usize,
    is_bad: bool,
}

pub fn service() -> ServiceName {
    "engines".try_into().expect("the name is valid")
}

pub fn order(duration_ms: u64) -> RolloutOrder {
    RolloutOrder { service: service(), target: "v2".try_into().expect("valid"), duration_ms }
}

pub const BOUNDS: RolloutBounds =
    RolloutBounds { exposure_share: 0.1, exposure_slack: 50.0, rollback_ms: 5_000 };

/// Plays a rollout to its time limit.
pub fn play(scene: &Scene) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(scene.seed);
    let count = usize::from(scene.daemons);
    let addrs: Vec<SocketAddr> =
        (0..scene.daemons).map(|i| SocketAddr::from(([10, 0, 0, 1], 1_000 + i))).collect();
    let mut daemons: Vec<Rollouts> =
        (0..count).map(|_| Rollouts::new(BOUNDS, rng.random())).collect();
    let ids: Vec<Arc<str>> = (0..scene.old_instances + scene.target_instances)
        .map(|i| Arc::from(format!("i{i}")))
        .collect();
    let is_target = |instance: usize| instance >= scene.old_instances;
    let started_ms: Vec<u64> = ids.iter().map(|_| rng.random_range(0..1_000)).collect();
    let is_cold = |instance: usize, since_ms: u64| {
        let slow_start = scene.slow_start.filter(|_| is_target(instance));
        slow_start.filter(|slow| since_ms < started_ms[instance] + slow.duration_ms)
    };
    let is_stated_cold = |instance: usize, since_ms: u64| {
        is_cold(instance, since_ms).is_some_and(|slow| slow.is_stated)
    };
    let mut in_flight = vec![0_u32; ids.len()];
    let mut open: BTreeMap<u64, Open> = BTreeMap::new();
    let mut events: BTreeMap<(u64, u64), (u64, Event)> = BTreeMap::new();
    let mut next = 0_u64;
    let mut seen_ms: Vec<u64> =
        (0..count).map(|_| WARM_UP_MS + rng.random_range(50..1_000)).collect();
    let mut mail: Vec<(u64, usize, usize, Message)> = Vec::new();
    let mut stored: Option<(RolloutStatus, u64, u64)> = None;
    let dead: Vec<usize> = rollout::judges(&service(), "v2", &addrs)
        .iter()
        .take(scene.dead_judges)
        .filter_map(|addr| addrs.iter().position(|other| other == addr))
        .collect();
    let mut outcome = Outcome {
        state: None,
        state_ms: 0,
        requests: 0,
        sends: 0,
        fiftieth_bad_ms: None,
        last_send_ms: 0,
        cut_off: 0,
        is_found_bad: false,
    };
    let mut bad_answers = 0;
    let end_ms = WARM_UP_MS + scene.duration_ms;
    let mut now_ms = 0;
    while now_ms < end_ms {
        now_ms += STEP_MS;
        let since_ms = now_ms.saturating_sub(WARM_UP_MS);
        let is_dead = |daemon: usize| since_ms >= 2_000 && dead.contains(&daemon);
        let is_crashed = |domain: usize| {
            scene.crash_ms.is_some_and(|at| (at..at + 1_200).contains(&since_ms))
                && domain.is_multiple_of(3)
        };
        for (daemon, seen_ms) in seen_ms.iter_mut().enumerate() {
            if now_ms >= *seen_ms && *seen_ms > 0 {
                daemons[daemon].apply_order(
                    order(scene.duration_ms),
                    7,
                    OrderOrigin::Change,
                    now_ms,
                );
                *seen_ms = 0;
            }
        }
        // Events of requests.
        while let Some(entry) = events.first_entry().filter(|entry| entry.key().0 <= now_ms) {
            let (id, event) = entry.remove();
            let Some(run) = open.get(&id) else { continue };
            let daemon = &mut daemons[run.daemon];
            match event {
                Event::Answer { has_failed } => daemon.answer(run.number, has_failed, now_ms),
                Event::Part => daemon.event(run.number, now_ms),
                Event::End => {
                    daemon.end(run.number);
                    in_flight[run.instance] -= 1;
                    bad_answers += usize::from(run.is_bad);
                    if bad_answers >= 50 {
                        outcome.fiftieth_bad_ms.get_or_insert(since_ms);
                    }
                    open.remove(&id);
                }
            }
        }
        open.retain(|_, run| {
            let is_lost = is_crashed(run.instance);
            if is_lost {
                daemons[run.daemon].end(run.number);
                in_flight[run.instance] -= 1;
            }
            !is_lost
        });
        // New requests.
        for route in &scene.routes {
            let mut expected = route.per_s * STEP_MS as f64 / 1_000.0;
            while rng.random::<f64>() < expected {
                expected -= 1.0;
                let daemon = rng.random_range(0..count);
                if is_dead(daemon) || is_crashed(daemon) {
                    continue;
                }
                if since_ms > 0 {
                    outcome.requests += 1;
                }
                let mut pass = Pass::default();
                let key = RouteKey::from(route.name);
                let warm: Vec<usize> = (scene.old_instances..ids.len())
                    .filter(|instance| !is_stated_cold(*instance, since_ms))
                    .collect();
                let enough = (scene.old_instances as f64 * 0.1).ceil() as usize;
                let usable = UsableVersions {
                    old: true,
                    suspended: false,
                    target: since_ms > 400 && warm.len() >= enough.div_ceil(2),
                    slots_ratio: warm.len() as f64 / scene.old_instances as f64,
                };
                let choice =
                    daemons[daemon].choose(&service(), key, &mut pass, None, usable, now_ms);
                let instances = match choice {
                    VersionChoice::Prefer { is_concentrated: true, .. } => {
                        let part = scene.old_instances as f64 * 0.1;
                        warm[..warm.len().min(part.ceil() as usize)].to_vec()
                    }
                    VersionChoice::Prefer { .. } => warm,
                    _ => (0..scene.old_instances).collect(),
                };
                let usable = instances.iter().filter(|instance| !is_crashed(**instance));
                let Some(&instance) = usable.min_by_key(|i| (in_flight[**i], rng.random::<u32>()))
                else {
                    continue;
                };
                let version = if is_target(instance) { "v2" } else { "v1" };
                let version = version.try_into().expect("valid");
                if !daemons[daemon].permit(&service(), key, &mut pass, &version, None, now_ms) {
                    continue;
                }
                if is_target(instance) {
                    outcome.sends += 1;
                    outcome.last_send_ms = since_ms;
                }
                in_flight[instance] += 1;
                let request = NewRequest {
                    service: service(),
                    route: key,
                    version,
                    instance: ids[instance].clone(),
                    is_stream: route.is_stream,
                    is_resumed: false,
                    is_cold: is_stated_cold(instance, since_ms),
                    target_latency_ms: if route.is_stream { 4_500 } else { 300 },
                };
                let has_fault = is_target(instance)
                    && since_ms >= scene.fault_after_ms
                    && in_flight[instance] > scene.fault_load
                    && scene.fault_route.is_none_or(|faulty| faulty == route.name);
                let (errors, factor) = match scene.fault {
                    Fault::Errors(share) if has_fault => (share, 1.0),
                    Fault::Slow(factor) if has_fault => (0.0, factor),
                    _ => (0.0, 1.0),
                };
                let cold = is_cold(instance, since_ms);
                let cold_factor = cold.map_or(1.0, |slow| slow.factor);
                let is_faulty = rng.random::<f64>() < errors;
                let has_failed = is_faulty || rng.random::<f64>() < route.errors;
                let spread = (rng.random::<f64>() - 0.5) * 1.4;
                let usual_ms = if route.is_stream { 1_300.0 } else { 60.0 };
                let first_ms = (usual_ms * spread.exp() * factor * cold_factor) as u64;
                let number = daemons[daemon].begin(request, now_ms);
                next += 1;
                let id = next;
                let is_bad = is_faulty || factor > 1.0;
                open.insert(id, Open { daemon, number, instance, is_bad });
                let mut at = |after_ms: u64, event| {
                    next += 1;
                    events.insert((now_ms + after_ms, next), (id, event));
                };
                if has_failed {
                    let after_ms = if route.is_stream { 100 } else { first_ms };
                    at(after_ms, Event::Answer { has_failed: true });
                    at(after_ms, Event::End);
                } else if route.is_stream {
                    let gap_ms = (36.0 * factor) as u64;
                    (0..10).for_each(|i| at(first_ms + i * gap_ms, Event::Part));
                    at(first_ms + 130 * gap_ms, Event::End);
                } else {
                    at(first_ms, Event::Answer { has_failed: false });
                    at(first_ms, Event::End);
                }
            }
        }
        if since_ms == 0 || now_ms % 50 != 0 {
            continue;
        }
        // Messages, of which some are lost and some arrive twice.
        let arrived: Vec<_> = std::mem::take(&mut mail);
        for (at_ms, from, to, message) in arrived {
            if at_ms > now_ms {
                mail.push((at_ms, from, to, message));
                continue;
            }
            if is_dead(to) || is_crashed(to) || rng.random::<f64>() < 0.05 {
                continue;
            }
            match message {
                Message::Report(report) => {
                    if rng.random::<f64>() < 0.05 {
                        daemons[to].merge_report(report.clone(), now_ms);
                    }
                    if let Some(reply) = daemons[to].merge_report(report, now_ms) {
                        mail.push((now_ms + 50, to, from, Message::Reply(reply)));
                    }
                }
                Message::Reply(reply) => daemons[to].merge_reply(&reply, now_ms),
            }
        }
        for daemon in (0..count).filter(|daemon| !is_dead(*daemon) && !is_crashed(*daemon)) {
            let rollouts = &mut daemons[daemon];
            for (judges, report) in rollouts.tick(&addrs, Some(addrs[daemon]), now_ms) {
                for judge in judges {
                    let to = addrs.iter().position(|addr| *addr == judge).expect("listed");
                    mail.push((now_ms + 50, daemon, to, Message::Report(report.clone())));
                }
            }
            for (_, text) in rollouts.take_changes(now_ms) {
                outcome.is_found_bad |= !text.contains("evidence=\"-\"");
            }
            for (receivers, verdict) in rollouts.take_verdicts(&addrs, Some(addrs[daemon]), now_ms)
            {
                for receiver in receivers {
                    let to = addrs.iter().position(|addr| *addr == receiver).expect("listed");
                    mail.push((now_ms + 50, daemon, to, Message::Reply(verdict.clone())));
                }
            }
            if let (false, Some(write)) = (scene.store_is_silent, rollouts.due_write(now_ms)) {
                let revision = stored.as_ref().map_or(0, |stored| stored.1);
                if revision == write.expected_revision {
                    let revision = revision.max(7) + 1;
                    rollouts.apply_status(&service(), Some(write.status.clone()), revision, now_ms);
                    outcome.state = Some(write.status.state);
                    outcome.state_ms = since_ms;
                    if write.status.state == RolloutState::Completed {
                        outcome.cut_off =
                            open.values().filter(|run| !is_target(run.instance)).count();
                    }
                    stored = Some((write.status, revision, now_ms));
                }
            }
        }
        if let Some((status, revision, at_ms)) = &stored
            && now_ms == at_ms + 500
        {
            for rollouts in &mut daemons {
                rollouts.apply_status(&service(), Some(status.clone()), *revision, now_ms);
            }
        }
    }
    outcome
}
