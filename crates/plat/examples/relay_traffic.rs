//! Counts the bytes and calls of each role that reads the store, for fleets without a network.
//!
//! `cargo run --release -p plat --example relay_traffic -- [--link MBPS] [--fast-link MBPS] [--moving PERCENT]
//! [--total-timeout] [DAEMONS...]`
//!
//! Each daemon runs `list_and_watch` on a `RelayedSource`. Calls to the store and to relays are function calls that take the
//! time of their bytes on the links of sender and receiver. Ten instances for each daemon write a heartbeat each 1.2 s.

use base::{HashMap, lock};
use plat::{
    Change, Changes, Freshness, ItemCache, Position, Relay, RelayOptions, RelayedSource,
    ServedItems, Source, SourceError, WatchHandler, WatchTiming, list_and_watch,
};
use std::{
    env,
    net::SocketAddr,
    sync::{Arc, LazyLock, Mutex},
    time::{Duration, Instant},
};
use tokio::task::JoinHandle;

const DOMAINS: usize = 4;
const INSTANCES_PER_DAEMON: usize = 10;
const HEARTBEAT_MS: u64 = 1_200;
const CHANGE_BOUND_MS: u64 = 2_000;
/// Interval at which the store's stale copy is renewed.
const STALE_MS: u64 = 2_000;
/// Bytes of a request and of the head of its answer.
const REQUEST_BYTES: u64 = 150;
const HEAD_BYTES: u64 = 160;
const ROUND_TRIP_MS: u64 = 3;
/// Bytes that pass a link without those of another call between them.
const CHUNK_BYTES: u64 = 16 * 1024;
/// Timeout of a watch at the store beyond its wait, with the option `--total-timeout`.
const ANSWER_WAIT_MS: u64 = 1_000;
const SETTLE_MS: u64 = 4_000;
const CALM_MS: u64 = 8_000;
const PROBES: u64 = 6;
const RESTART_MS: u64 = 10_000;

/// What a daemon sends or receives in one role.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Role {
    StoreList,
    StoreWatch,
    RelayList,
    RelayWatch,
    ServedList,
    ServedWatch,
    Refused,
}

#[derive(Default)]
struct Daemon {
    items: Option<Arc<ServedItems>>,
    /// Bytes and calls by role.
    traffic: HashMap<Role, (u64, u64)>,
    /// Times at which the links are free again, for sending and receiving.
    link_free: [Option<Instant>; 2],
    caught_up: Option<Instant>,
    /// Time at which the last probe arrived.
    probe: Option<(u64, Instant)>,
}

#[derive(Default)]
struct World {
    daemons: Vec<Daemon>,
    /// Links of most daemons, and of each eighth daemon of a domain.
    link_mbps: [u64; 2],
    has_total_timeout: bool,
    history: Vec<Change>,
    items: HashMap<Box<str>, Change>,
    /// Era of the store, which rises when it is restored.
    era: u64,
    stale: Changes,
}

static WORLD: LazyLock<Mutex<World>> = LazyLock::new(Mutex::default);

tokio::task_local! {
    /// Number of the daemon whose task runs.
    static OWN: usize;
}

fn wire_bytes(changes: &[Change]) -> u64 {
    let value_bytes = |change: &Change| change.value.as_ref().map_or(4, |v| v.len() * 4 / 3 + 4);
    changes.iter().map(|change| (change.key.len() + value_bytes(change) + 46) as u64).sum()
}

impl World {
    fn write(&mut self, key: &str, value: Vec<u8>) {
        let revision = self.history.len() as u64 + 1;
        let change = Change { key: key.into(), value: Some(value.into()), revision };
        self.history.push(change.clone());
        self.items.insert(change.key.clone(), change);
    }

    fn list(&self) -> Changes {
        let mut changes: Vec<Change> = self.items.values().cloned().collect();
        changes.sort_by_key(|change| change.revision);
        Changes { changes, era: self.era, revision: self.history.len() as u64, age_ms: 0 }
    }

    /// Changes after a revision; `None` if there are none and the watch has to wait.
    fn changes(&self, after: u64, is_over: bool) -> Option<Changes> {
        let revision = self.history.len() as u64;
        let first = after.min(revision) as usize;
        let changes = self.history[first..].to_vec();
        (is_over || !changes.is_empty()).then_some(Changes {
            changes,
            era: self.era,
            revision,
            age_ms: 0,
        })
    }

    fn count(&mut self, daemon: usize, role: Role, bytes: u64, calls: u64) {
        let traffic = self.daemons[daemon].traffic.entry(role).or_default();
        traffic.0 += bytes;
        traffic.1 += calls;
    }

    /// Occupies one direction of a link, and returns when the bytes have passed it.
    fn occupy(&mut self, daemon: usize, direction: usize, bytes: u64) -> Instant {
        let time = Duration::from_micros(bytes * 8 / link_of(daemon, self.link_mbps));
        let free = &mut self.daemons[daemon].link_free[direction];
        let end = free.unwrap_or_else(Instant::now).max(Instant::now()) + time;
        *free = Some(end);
        end
    }
}

/// Calls of one daemon to the store, or to the relay with this number.
struct ModelSource {
    relay: Option<usize>,
    /// How long the last answer took to arrive.
    transfer_ms: u64,
}

fn connect(addr: SocketAddr) -> ModelSource {
    ModelSource { relay: Some(usize::from(addr.port())), transfer_ms: 0 }
}

impl ModelSource {
    /// Passes an answer over the links of both sides, in chunks: a reader that gives up stops the rest.
    async fn pass(&mut self, answer: Changes, is_list: bool) -> Result<Changes, SourceError> {
        let (read, served) = match (self.relay, is_list) {
            (None, true) => (Role::StoreList, None),
            (None, false) => (Role::StoreWatch, None),
            (Some(relay), true) => (Role::RelayList, Some((relay, Role::ServedList))),
            (Some(relay), false) => (Role::RelayWatch, Some((relay, Role::ServedWatch))),
        };
        let own = OWN.get();
        let start = tokio::time::Instant::now();
        let mut left = wire_bytes(&answer.changes) + HEAD_BYTES + REQUEST_BYTES;
        let mut calls = 1;
        while left > 0 {
            let bytes = left.min(CHUNK_BYTES);
            left -= bytes;
            let end = {
                let mut world = lock(&WORLD);
                world.count(own, read, bytes, calls);
                let mut end = world.occupy(own, 1, bytes);
                if let Some((relay, role)) = served {
                    world.count(relay, role, bytes, calls);
                    end = end.max(world.occupy(relay, 0, bytes));
                }
                end
            };
            calls = 0;
            tokio::time::sleep_until(end.into()).await;
            // Lists of the store are paged, and each page has a timeout of its own.
            let has_timeout = lock(&WORLD).has_total_timeout && !is_list;
            if has_timeout && start.elapsed() > Duration::from_millis(ANSWER_WAIT_MS) {
                return Err(SourceError::Malformed("the time"));
            }
        }
        self.transfer_ms = start.elapsed().as_millis() as u64;
        tokio::time::sleep(Duration::from_millis(ROUND_TRIP_MS)).await;
        Ok(answer)
    }

    async fn list_pages(&mut self, relay: usize) -> Result<Changes, SourceError> {
        let items = self.items(relay).ok_or(SourceError::Outdated)?;
        let mut list = Changes::default();
        loop {
            let after = list.changes.last().map(|item| item.key.clone());
            let page = items.page(after.as_deref());
            let (page, has_more) = page.inspect_err(|err| self.count_refused(err))?;
            let page = self.pass(page, true).await?;
            if list.revision == 0 {
                list = page;
            } else {
                list.changes.extend(page.changes);
            }
            if !has_more {
                return Ok(list);
            }
        }
    }

    fn count_refused(&self, err: &SourceError) {
        if let (Some(relay), SourceError::Busy) = (self.relay, err) {
            lock(&WORLD).count(relay, Role::Refused, HEAD_BYTES, 1);
        }
    }

    fn items(&self, relay: usize) -> Option<Arc<ServedItems>> {
        lock(&WORLD).daemons[relay].items.clone()
    }
}

impl Source for ModelSource {
    async fn list(&mut self, _: &str, freshness: Freshness) -> Result<Changes, SourceError> {
        let answer = match self.relay {
            Some(relay) => {
                return self.list_pages(relay).await;
            }
            None if freshness == Freshness::Stale => lock(&WORLD).stale.clone(),
            None => lock(&WORLD).list(),
        };
        self.pass(answer, true).await
    }

    async fn watch(&mut self, _: &str, after: u64, wait_ms: u64) -> Result<Changes, SourceError> {
        let answer = match self.relay {
            Some(relay) => {
                let items = self.items(relay).ok_or(SourceError::Outdated)?;
                let read = items.watch(after, wait_ms).await;
                read.inspect_err(|err| self.count_refused(err))?
            }
            None => {
                let deadline = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    if let Some(answer) = lock(&WORLD).changes(after, Instant::now() >= deadline) {
                        break answer;
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        };
        self.pass(answer, false).await
    }

    fn batch_ms(&self, batch_ms: u64) -> u64 {
        let is_slow = self.transfer_ms > batch_ms / 4;
        if is_slow { batch_ms.saturating_sub(self.transfer_ms) } else { batch_ms }
    }
}

struct ModelHandler;

impl ModelHandler {
    fn see(changes: &[Change]) {
        for change in changes.iter().filter(|change| &*change.key == "op/config") {
            let number = change.value.as_ref().map_or(0, |value| u64::from(value[0]));
            lock(&WORLD).daemons[OWN.get()].probe = Some((number, Instant::now()));
        }
    }
}

impl WatchHandler for ModelHandler {
    fn on_list(&mut self, items: Vec<Change>) {
        Self::see(&items);
    }
    fn on_restored(&mut self) {}
    fn on_caught_up(&mut self) {
        lock(&WORLD).daemons[OWN.get()].caught_up.get_or_insert_with(Instant::now);
    }
    fn on_changes(&mut self, changes: Vec<Change>) {
        Self::see(&changes);
    }
    fn on_position(&mut self, _: Position) {}
    fn on_outage(&mut self, _: &SourceError) {}
    fn on_answer(&mut self, _: Option<u64>) {}
}

fn is_same(key: &str, old: &[u8], new: &[u8]) -> bool {
    let end = |value: &[u8]| value.len().saturating_sub(12);
    key.starts_with("servers/") && old[..end(old)] == new[..end(new)]
}

fn entry(id: usize, state: u64, beat: u64) -> Vec<u8> {
    let port = 8_000 + id % 50;
    format!(
        "{{\"service\":\"logbook-chat\",\"address\":\"10.12.{}.{}:{port}\",\"zone\":\"tenancingo-{}\",\"version\":\"2026.11.3\",\
         \"slots\":12,\"state\":\"ready\",\"cold_remaining_ms\":0.0,\"born\":17857846{state:05},\"sequence\":{beat:010}}}",
        id / 250, id % 250, id % DOMAINS
    )
    .into_bytes()
}

/// Writes the heartbeats of all instances; `moving` percent of the instances change each second.
async fn beat(instances: usize, moving: f64) {
    let start = Instant::now();
    let (mut beats, mut moves, mut stale_at) = (0_u64, 0_u64, 0);
    let mut states = vec![0_u64; instances];
    loop {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let elapsed_ms = start.elapsed().as_millis() as u64;
        let mut world = lock(&WORLD);
        while beats < elapsed_ms * instances as u64 / HEARTBEAT_MS {
            let id = beats as usize % instances;
            world.write(&format!("servers/i-{id:010x}"), entry(id, states[id], beats));
            beats += 1;
        }
        while (moves as f64) < elapsed_ms as f64 / 1_000.0 * instances as f64 * moving / 100.0 {
            let id = moves as usize * 7_919 % instances;
            states[id] += 1;
            world.write(&format!("servers/i-{id:010x}"), entry(id, states[id], beats));
            moves += 1;
        }
        if elapsed_ms >= stale_at {
            stale_at = elapsed_ms + STALE_MS;
            world.stale = world.list();
        }
    }
}

fn link_of(number: usize, [most, fast]: [u64; 2]) -> u64 {
    if number / DOMAINS % 8 == 3 { fast } else { most }
}

fn relay(number: usize, link_mbps: [u64; 2]) -> Relay {
    Relay {
        vm_name: format!("front-{number}").into(),
        domain: format!("domain-{}", number % DOMAINS).try_into().expect("a valid name"),
        addr: ([127, 0, 0, 1], number as u16).into(),
        link_mbps: link_of(number, link_mbps),
    }
}

fn start(number: usize, link_mbps: [u64; 2]) -> JoinHandle<()> {
    let items = Arc::new(ItemCache::new(is_same));
    {
        let mut world = lock(&WORLD);
        let daemon = &mut world.daemons[number];
        let link_mbps = link_of(number, link_mbps);
        let served = ServedItems::new(Arc::clone(&items), CHANGE_BOUND_MS / 2, link_mbps);
        daemon.items = Some(Arc::new(served));
        daemon.caught_up = None;
        daemon.link_free = [None; 2];
    }
    let own = relay(number, link_mbps);
    let options = RelayOptions {
        own_name: own.vm_name,
        domain: own.domain,
        prefix: "geraniumroad/relays/",
        wait_ms: CHANGE_BOUND_MS / 8,
    };
    let source =
        RelayedSource::new(ModelSource { relay: None, transfer_ms: 0 }, connect, options, items);
    let timing = WatchTiming { wait_ms: CHANGE_BOUND_MS / 2, batch_ms: CHANGE_BOUND_MS / 4 };
    tokio::spawn(OWN.scope(number, list_and_watch(source, "", timing, ModelHandler)))
}

/// Prints what the daemons sent and received in each role since the last call.
fn report(name: &str, seconds: f64) {
    let mut world = lock(&WORLD);
    let mut sums: Vec<u64> = world
        .daemons
        .iter()
        .map(|daemon| daemon.traffic.values().map(|(bytes, _)| bytes).sum::<u64>())
        .collect();
    let busiest = (0..sums.len()).max_by_key(|&number| sums[number]).unwrap_or(0);
    let rate = |bytes: u64| bytes as f64 / seconds / 1_000.0;
    let largest = rate(sums[busiest]);
    sums.sort_unstable();
    let mut roles: Vec<_> = world.daemons[busiest].traffic.iter().collect();
    roles.sort();
    let roles = roles.iter().map(|(role, (bytes, calls))| {
        format!("{role:?} {:.0} kB/s {:.1}/s", rate(*bytes), *calls as f64 / seconds)
    });
    let roles: Vec<String> = roles.collect();
    let calls = |wanted: &[Role]| {
        let counts = world.daemons.iter().flat_map(|daemon| &daemon.traffic);
        counts.filter(|(role, _)| wanted.contains(role)).map(|(_, (_, calls))| calls).sum::<u64>()
    };
    let store_calls = calls(&[Role::StoreList, Role::StoreWatch]);
    let served = |daemon: &Daemon| {
        let roles = [Role::ServedList, Role::ServedWatch];
        roles
            .iter()
            .filter_map(|role| daemon.traffic.get(role))
            .map(|(bytes, _)| bytes)
            .sum::<u64>()
    };
    println!(
        "{name}: median {:.0} busiest {largest:.0} most served {:.0} kB/s, store {store_calls} calls, list pages at relays {}, refused {}; busiest: {}",
        rate(sums[sums.len() / 2]),
        rate(world.daemons.iter().map(served).max().unwrap_or(0)),
        calls(&[Role::RelayList]),
        calls(&[Role::Refused]),
        roles.join(", ")
    );
    for daemon in &mut world.daemons {
        daemon.traffic.clear();
    }
}

async fn probe(number: u64) -> Vec<u64> {
    let written = Instant::now();
    lock(&WORLD).write("op/config", vec![number as u8; 100]);
    tokio::time::sleep(Duration::from_millis(CHANGE_BOUND_MS + 113)).await;
    let world = lock(&WORLD);
    let arrivals = world.daemons.iter().map(|daemon| match daemon.probe {
        Some((seen, at)) if seen == number => {
            at.saturating_duration_since(written).as_millis() as u64
        }
        _ => u64::MAX,
    });
    arrivals.collect()
}

async fn play(daemons: usize, link_mbps: [u64; 2], has_total_timeout: bool, moving: f64) {
    let instances = daemons * INSTANCES_PER_DAEMON;
    {
        let mut world = lock(&WORLD);
        *world = World { link_mbps, has_total_timeout, era: 1, ..World::default() };
        world.daemons.resize_with(daemons, Daemon::default);
        for id in 0..instances {
            world.write(&format!("servers/i-{id:010x}"), entry(id, 0, 0));
        }
        for number in 0..daemons {
            let text = relay(number, link_mbps).encode();
            world.write(&format!("geraniumroad/relays/front-{number}"), text.into_bytes());
        }
        world.stale = world.list();
    }
    println!(
        "{daemons} daemons, {instances} instances, {link_mbps:?} Mbit/s, {moving}% change a second"
    );
    let writer = tokio::spawn(beat(instances, moving));
    let mut tasks: Vec<_> = (0..daemons).map(|number| start(number, link_mbps)).collect();
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    report("  start", SETTLE_MS as f64 / 1_000.0);
    tokio::time::sleep(Duration::from_millis(CALM_MS)).await;
    report("  calm", CALM_MS as f64 / 1_000.0);
    let mut arrivals: Vec<u64> = Vec::new();
    for number in 1..=PROBES {
        arrivals.extend(probe(number).await);
    }
    arrivals.sort_unstable();
    let at = |share: f64| arrivals[((arrivals.len() - 1) as f64 * share) as usize];
    println!("  change active after ms: p50 {} p99 {} max {}", at(0.5), at(0.99), at(1.0));
    report("  probes", (CHANGE_BOUND_MS + 113) as f64 * PROBES as f64 / 1_000.0);
    lock(&WORLD).era += 1;
    let mut arrivals = probe(PROBES + 1).await;
    arrivals.sort_unstable();
    let late = arrivals.iter().filter(|&&arrival| arrival == u64::MAX).count();
    println!(
        "  store restored: change active after ms: p50 {}, late {late}",
        arrivals[daemons / 2]
    );
    report("  restored", (CHANGE_BOUND_MS + 113) as f64 / 1_000.0);
    for task in &tasks {
        task.abort();
    }
    let restart = Instant::now();
    tasks = (0..daemons).map(|number| start(number, link_mbps)).collect();
    tokio::time::sleep(Duration::from_millis(RESTART_MS)).await;
    {
        let world = lock(&WORLD);
        let late = world.daemons.iter().filter(|daemon| daemon.caught_up.is_none()).count();
        let caught_up = world.daemons.iter().filter_map(|daemon| daemon.caught_up).max();
        let last_ms = caught_up.map(|at| at.duration_since(restart).as_millis());
        println!("  all restarted: last caught up after {last_ms:?} ms, not caught up {late}");
    }
    report("  restart", RESTART_MS as f64 / 1_000.0);
    writer.abort();
    for task in &tasks {
        task.abort();
    }
}

#[tokio::main]
async fn main() {
    let (mut link_mbps, mut has_total_timeout) = ([10, 200], false);
    let (mut moving, mut fleets) = (2.0, Vec::new());
    let mut arguments = env::args().skip(1);
    while let Some(argument) = arguments.next() {
        let mut next = || arguments.next().unwrap_or_default();
        match &*argument {
            "--link" => link_mbps[0] = next().parse().expect("--link takes Mbit/s"),
            "--fast-link" => link_mbps[1] = next().parse().expect("--fast-link takes Mbit/s"),
            "--moving" => moving = next().parse().expect("--moving takes a percentage"),
            "--total-timeout" => has_total_timeout = true,
            _ => fleets.push(argument.parse().expect("a number of daemons")),
        }
    }
    if fleets.is_empty() {
        fleets = vec![30, 100, 300];
    }
    for daemons in fleets {
        play(daemons, link_mbps, has_total_timeout, moving).await;
    }
}
