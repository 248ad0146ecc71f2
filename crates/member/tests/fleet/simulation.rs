//! Daemons, network and platform of a case, with the oracle.

use crate::{
    fault::Fault,
    node::{Node, addr, id, number},
    step::Step,
};
use member::{Heartbeat, MemberState, Message, Target, Topic, Update, Version};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Daemons of a case.
const NODES: usize = 9;

/// Failure domains of a case.
const DOMAINS: usize = 3;

/// Time of one round.
const ROUND_MS: u64 = 333;

/// Rounds for which a daemon that wakes was paused at least, longer than the time that reveals a pause.
const PAUSE_ROUNDS: usize = 10;

/// Rounds after which everything must have converged once all faults have ended.
const HEALING_ROUNDS: usize = 120;

/// Most list changes that a reader may be behind.
const LIST_LAG: usize = 2;

/// Largest heartbeat.
const MESSAGE_BYTES: usize = 900;

/// Message that arrives in a later round.
enum Late {
    Heartbeat(usize, Heartbeat),
    Update(usize, Topic, Update),
}

/// Daemons, network and platform of a case.
pub struct World {
    fault: Fault,
    now_ms: u64,
    rng: SmallRng,
    nodes: Vec<Node>,
    late: Vec<Late>,
    cut_domains: u8,
    documents: Vec<String>,
    lists: Vec<String>,
    /// Most list changes that a reader may be behind; no reader is while faults are absent.
    list_lag: usize,
    /// Revision that the platform shows; none during an outage.
    shown_revision: Option<usize>,
    largest: Vec<[Version; 2]>,
    loss_pct: u8,
    pub removals: u64,
    pub returns: u64,
}

impl World {
    pub fn new(fault: Fault) -> Self {
        let nodes = (0..NODES).map(|number| Node::new(number, number % DOMAINS, 0, hints(), fault));
        Self {
            fault,
            now_ms: 0,
            rng: SmallRng::seed_from_u64(7),
            nodes: nodes.collect(),
            late: Vec::new(),
            cut_domains: 0,
            documents: vec![document(1)],
            lists: vec![list(1)],
            list_lag: LIST_LAG,
            shown_revision: Some(1),
            largest: vec![Default::default(); NODES],
            loss_pct: 0,
            removals: 0,
            returns: 0,
        }
    }

    /// Takes a step; whether all promises hold after it.
    pub fn take(&mut self, step: Step) -> bool {
        match step {
            Step::Round => self.round(0),
            Step::BadRound(share) => self.round(share % 60),
            Step::Pause(node) => self.nodes[usize::from(node) % NODES].is_paused = true,
            Step::Wake(node) => return self.wake(usize::from(node) % NODES),
            Step::Restart(node) => self.restart(usize::from(node) % NODES),
            Step::Partition(domains) => self.cut_domains = domains % (1 << DOMAINS),
            Step::Heal => self.cut_domains = 0,
            Step::Change => self.documents.push(document(self.documents.len() + 1)),
            Step::ListChange => self.lists.push(list(self.lists.len() + 1)),
            Step::Outage => self.shown_revision = None,
            Step::Old(age) => {
                let newest = self.documents.len();
                self.shown_revision = Some(newest.saturating_sub(usize::from(age % 8)).max(1));
            }
            Step::Recover => self.shown_revision = Some(self.documents.len()),
        }
        if step_shows_newest(step) && self.shown_revision.is_some() {
            self.shown_revision = Some(self.documents.len());
        }
        self.holds()
    }

    /// Ends all faults; whether everything converges within the bound.
    pub fn heal(&mut self) -> bool {
        for node in 0..NODES {
            if self.nodes[node].is_paused && !self.wake(node) {
                return false;
            }
        }
        self.cut_domains = 0;
        self.list_lag = 0;
        self.shown_revision = Some(self.documents.len());
        for _ in 0..HEALING_ROUNDS {
            self.round(0);
            if !self.holds() {
                return false;
            }
        }
        let newest =
            Version::of(self.documents.len() as u64, &self.documents[self.documents.len() - 1]);
        self.removals = self.nodes.iter().map(|node| node.membership.stats().removals).sum();
        self.returns = self.nodes.iter().map(|node| node.membership.stats().returns).sum();
        self.nodes.iter().all(|node| {
            let alive = node.membership.live().filter(|member| member.state == MemberState::Alive);
            alive.count() == NODES - 1
                && node.version(Topic::Config) == newest
                && **node.texts[Topic::Vms as usize].text() == *self.lists[self.lists.len() - 1]
        })
    }

    /// Revisions never decrease, and a held text is the one that the platform had at its revision.
    fn holds(&mut self) -> bool {
        for (node, largest) in self.nodes.iter().zip(&mut self.largest) {
            let versions = Topic::ALL.map(|topic| node.version(topic));
            if versions.iter().zip(largest.iter()).any(|(version, largest)| version < largest) {
                return false;
            }
            *largest = versions;
            let revision = versions[0].number as usize;
            let text = node.texts[Topic::Config as usize].text();
            if revision > 0 && *self.documents[revision - 1] != **text {
                return false;
            }
        }
        true
    }

    fn wake(&mut self, node: usize) -> bool {
        if !std::mem::replace(&mut self.nodes[node].is_paused, false) {
            return true;
        }
        // The others run on in the meantime.
        self.nodes[node].is_paused = true;
        for _ in 0..PAUSE_ROUNDS {
            self.round(0);
        }
        self.nodes[node].is_paused = false;
        let before = self.nodes[node].shown;
        let targets = self.nodes[node].membership.tick(self.now_ms, &mut self.rng);
        let is_alone = self.nodes[node].membership.live().next().is_none();
        let first = self.compose(node, (node + 1) % NODES);
        let is_believed = first.is_trusted || !first.records.is_empty();
        for target in targets {
            self.call(node, &target);
        }
        first.from.incarnation > before && (is_alone || !is_believed)
    }

    fn restart(&mut self, node: usize) {
        self.nodes[node] = Node::new(node, node % DOMAINS, self.now_ms, hints(), self.fault);
        self.largest[node] = Default::default();
    }

    fn round(&mut self, loss_pct: u8) {
        self.loss_pct = loss_pct;
        self.now_ms += ROUND_MS;
        for late in std::mem::take(&mut self.late) {
            match late {
                Late::Heartbeat(to, heartbeat) => drop(self.deliver(to, &heartbeat)),
                Late::Update(to, topic, update) => self.nodes[to].take(topic, &update, self.fault),
            }
        }
        for node in 0..NODES {
            if !self.nodes[node].is_paused {
                self.read_platform(node);
                self.tick(node);
            }
        }
    }

    fn read_platform(&mut self, node: usize) {
        let Some(revision) = self.shown_revision else { return };
        if self.cut_domains & (1 << (node % DOMAINS)) != 0 || !self.nodes[node].is_reader() {
            return;
        }
        let text = &self.documents[revision - 1];
        let version = Version::of(revision as u64, text);
        self.nodes[node].texts[Topic::Config as usize].replace_if_newer(version, text);
        let lag = self.rng.random_range(0..=self.list_lag);
        let position = (self.lists.len() - 1).saturating_sub(lag);
        self.nodes[node].read_list(&self.lists[position], self.fault);
    }

    fn tick(&mut self, node: usize) {
        let targets = self.nodes[node].membership.tick(self.now_ms, &mut self.rng);
        for target in targets {
            if self.fault == Fault::NoProbe && self.is_removed(node, &target) {
                continue;
            }
            self.call(node, &target);
        }
    }

    fn is_removed(&self, node: usize, target: &Target) -> bool {
        let known = target.id.as_ref().and_then(|id| self.nodes[node].membership.find(id));
        known.is_some_and(|member| member.state == MemberState::Removed)
    }

    /// A heartbeat with its answer, and the fetches that follow.
    fn call(&mut self, from: usize, target: &Target) {
        let to = number(target.addr);
        let heartbeat = self.compose(from, to);
        if self.is_lost() {
            if self.is_lost() {
                self.late.push(Late::Heartbeat(to, heartbeat));
            }
            return self.nodes[from].membership.record_failed_heartbeat(self.now_ms, &id(to));
        }
        let is_doubled = self.is_lost();
        let Some(answer) = self.deliver(to, &heartbeat).filter(|_| self.reaches(from, to)) else {
            return self.nodes[from].membership.record_failed_heartbeat(self.now_ms, &id(to));
        };
        if is_doubled {
            self.late.push(Late::Heartbeat(to, heartbeat));
        }
        if self.is_lost() {
            return self.nodes[from].membership.record_failed_heartbeat(self.now_ms, &id(to));
        }
        for topic in self.nodes[from].receive(self.now_ms, &answer, self.fault) {
            self.fetch(topic, from, to);
        }
    }

    fn deliver(&mut self, to: usize, heartbeat: &Heartbeat) -> Option<Heartbeat> {
        let from = number(heartbeat.from.addr);
        if self.nodes[to].is_paused || !self.reaches(from, to) {
            return None;
        }
        for topic in self.nodes[to].receive(self.now_ms, heartbeat, self.fault) {
            self.fetch(topic, to, from);
        }
        Some(self.compose(to, from))
    }

    fn fetch(&mut self, topic: Topic, from: usize, to: usize) {
        if self.nodes[to].is_paused || !self.reaches(from, to) || self.is_lost() {
            return;
        }
        let question = self.nodes[from].question(topic);
        let update = self.nodes[to].answer(&question, self.fault);
        if self.is_lost() {
            self.late.push(Late::Update(from, topic, update));
        } else {
            self.nodes[from].take(topic, &update, self.fault);
        }
    }

    /// Composes a heartbeat and checks its size as it goes over the wire.
    fn compose(&mut self, from: usize, to: usize) -> Heartbeat {
        let heartbeat = self.nodes[from].heartbeat(Some(&id(to)), &mut self.rng);
        let encoded = Message::Heartbeat(heartbeat).encode().unwrap();
        assert!(encoded.len() <= MESSAGE_BYTES, "a heartbeat has {} bytes", encoded.len());
        match Message::decode(&encoded).unwrap() {
            Message::Heartbeat(heartbeat) => heartbeat,
            other => panic!("{other:?} is not a heartbeat"),
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let is_cut = |node: usize| self.cut_domains & (1 << (node % DOMAINS)) != 0;
        is_cut(a) == is_cut(b)
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.loss_pct
    }
}

/// An operator's change is in the platform at once, unless it shows an old state.
fn step_shows_newest(step: Step) -> bool {
    matches!(step, Step::Change)
}

fn hints() -> Vec<Target> {
    (0..NODES).map(|number| Target { id: Some(id(number)), addr: addr(number) }).collect()
}

fn list(number: usize) -> String {
    format!("vm list {number}")
}

fn document(revision: usize) -> String {
    let accounts: Vec<String> =
        (0..20).map(|n| format!("account {n} rate {}", (revision * n) % 7)).collect();
    format!("{} revision {revision}", accounts.join("; "))
}
