//! Simulation of daemons, network and platform, with the checked invariants.

use crate::{
    injected_bug::InjectedBug,
    node::{Node, addr, id, node_number},
    step::Step,
};
use member::{Heartbeat, MemberState, Message, Target, Topic, Update, Version};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Number of daemons.
const NODES: usize = 9;

/// Number of failure domains.
const DOMAINS: usize = 3;

/// Simulated time of one round in milliseconds.
const ROUND_MS: u64 = 333;

/// Minimum number of rounds for which a daemon is paused before it resumes. They take longer than
/// `Options::pause_threshold_ms`.
const MIN_PAUSE_ROUNDS: usize = 10;

/// Number of rounds within which all daemons must converge after the last fault.
const CONVERGENCE_ROUNDS: usize = 120;

/// Maximum lag of a reader, in list changes.
const MAX_LIST_LAG: usize = 2;

/// Maximum size of an encoded heartbeat in bytes.
const MAX_HEARTBEAT_BYTES: usize = 900;

/// Message that arrives in the next round.
enum DelayedMessage {
    /// Heartbeat to the daemon with this number.
    Heartbeat(usize, Heartbeat),
    /// Answer to a fetch by the daemon with this number.
    Update(usize, Topic, Update),
}

/// Daemons, network and platform of a simulated case.
pub struct Simulation {
    bug: InjectedBug,
    now_ms: u64,
    rng: SmallRng,
    nodes: Vec<Node>,
    delayed: Vec<DelayedMessage>,
    /// Bit set of the failure domains that are partitioned from the others and from the platform.
    partitioned_domains: u8,
    /// Configuration documents by revision, from revision 1 on.
    documents: Vec<String>,
    /// VM lists of the platform, oldest first.
    lists: Vec<String>,
    /// Maximum lag of a reader, in list changes; 0 once the faults have ended.
    list_lag: usize,
    /// Revision that the platform returns; `None` during an outage.
    platform_revision: Option<usize>,
    /// Highest versions that each daemon has held since its start.
    highest_versions: Vec<[Version; 2]>,
    /// Percentage of lost messages in the current round.
    loss_pct: u8,
    /// Removals that the daemons counted, once the fleet has converged.
    pub removals: u64,
    /// Returns of removed daemons that the daemons counted, once the fleet has converged.
    pub returns: u64,
}

impl Simulation {
    pub fn new(bug: InjectedBug) -> Self {
        let nodes =
            (0..NODES).map(|number| Node::new(number, number % DOMAINS, 0, seed_nodes(), bug));
        Self {
            bug,
            now_ms: 0,
            rng: SmallRng::seed_from_u64(7),
            nodes: nodes.collect(),
            delayed: Vec::new(),
            partitioned_domains: 0,
            documents: vec![document(1)],
            lists: vec![list(1)],
            list_lag: MAX_LIST_LAG,
            platform_revision: Some(1),
            highest_versions: vec![Default::default(); NODES],
            loss_pct: 0,
            removals: 0,
            returns: 0,
        }
    }

    /// Runs a step and returns whether the invariants hold after it.
    pub fn run_step(&mut self, step: Step) -> bool {
        match step {
            Step::Round => self.round(0),
            Step::LossyRound(share) => self.round(share % 60),
            Step::Pause(node) => self.nodes[usize::from(node) % NODES].is_paused = true,
            Step::Resume(node) => return self.resume(usize::from(node) % NODES),
            Step::Restart(node) => self.restart(usize::from(node) % NODES),
            Step::Partition(domains) => self.partitioned_domains = domains % (1 << DOMAINS),
            Step::Heal => self.partitioned_domains = 0,
            Step::DocumentChange => self.documents.push(document(self.documents.len() + 1)),
            Step::ListChange => self.lists.push(list(self.lists.len() + 1)),
            Step::PlatformOutage => self.platform_revision = None,
            Step::StalePlatform(age) => {
                let newest = self.documents.len();
                self.platform_revision = Some(newest.saturating_sub(usize::from(age % 8)).max(1));
            }
            Step::PlatformRecovery => self.platform_revision = Some(self.documents.len()),
        }
        if publishes_revision(step) && self.platform_revision.is_some() {
            self.platform_revision = Some(self.documents.len());
        }
        self.invariants_hold()
    }

    /// Ends all faults and returns whether all daemons converge within the limit.
    pub fn heal_and_converge(&mut self) -> bool {
        for node in 0..NODES {
            if self.nodes[node].is_paused && !self.resume(node) {
                return false;
            }
        }
        self.partitioned_domains = 0;
        self.list_lag = 0;
        self.platform_revision = Some(self.documents.len());
        for _ in 0..CONVERGENCE_ROUNDS {
            self.round(0);
            if !self.invariants_hold() {
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

    /// Checks that versions never decrease and that each held document is the one that the platform had at its
    /// revision.
    fn invariants_hold(&mut self) -> bool {
        for (node, highest) in self.nodes.iter().zip(&mut self.highest_versions) {
            let versions = Topic::ALL.map(|topic| node.version(topic));
            if versions.iter().zip(highest.iter()).any(|(version, highest)| version < highest) {
                return false;
            }
            *highest = versions;
            let revision = versions[0].number as usize;
            let text = node.texts[Topic::Config as usize].text();
            if revision > 0 && *self.documents[revision - 1] != **text {
                return false;
            }
        }
        true
    }

    /// Resumes a paused daemon after some rounds. Returns whether it then announces a higher incarnation and, unless it
    /// knows no live daemon, neither trusts its own view nor sends reports.
    fn resume(&mut self, node: usize) -> bool {
        if !std::mem::replace(&mut self.nodes[node].is_paused, false) {
            return true;
        }
        // The other daemons run during the pause.
        self.nodes[node].is_paused = true;
        for _ in 0..MIN_PAUSE_ROUNDS {
            self.round(0);
        }
        self.nodes[node].is_paused = false;
        let previously_announced = self.nodes[node].announced;
        let targets = self.nodes[node].membership.tick(self.now_ms, &mut self.rng);
        let is_alone = self.nodes[node].membership.live().next().is_none();
        let first_heartbeat = self.compose(node, (node + 1) % NODES);
        let claims_trust = first_heartbeat.is_trusted || !first_heartbeat.records.is_empty();
        for target in targets {
            self.send_heartbeat(node, &target);
        }
        first_heartbeat.from.incarnation > previously_announced && (is_alone || !claims_trust)
    }

    fn restart(&mut self, node: usize) {
        self.nodes[node] = Node::new(node, node % DOMAINS, self.now_ms, seed_nodes(), self.bug);
        self.highest_versions[node] = Default::default();
    }

    /// Advances the time by one round, delivers the delayed messages, and lets every running daemon read the platform
    /// and tick.
    fn round(&mut self, loss_pct: u8) {
        self.loss_pct = loss_pct;
        self.now_ms += ROUND_MS;
        for delayed in std::mem::take(&mut self.delayed) {
            match delayed {
                DelayedMessage::Heartbeat(to, heartbeat) => drop(self.deliver(to, &heartbeat)),
                DelayedMessage::Update(to, topic, update) => {
                    self.nodes[to].apply_update(topic, &update, self.bug)
                }
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
        let Some(revision) = self.platform_revision else { return };
        if self.partitioned_domains & (1 << (node % DOMAINS)) != 0 || !self.nodes[node].is_reader()
        {
            return;
        }
        let text = &self.documents[revision - 1];
        let version = Version::of(revision as u64, text);
        self.nodes[node].texts[Topic::Config as usize].replace_if_newer(version, text);
        let lag = self.rng.random_range(0..=self.list_lag);
        let position = (self.lists.len() - 1).saturating_sub(lag);
        self.nodes[node].read_list(&self.lists[position], self.bug);
    }

    fn tick(&mut self, node: usize) {
        let targets = self.nodes[node].membership.tick(self.now_ms, &mut self.rng);
        for target in targets {
            if self.bug == InjectedBug::NoProbe && self.is_removed(node, &target) {
                continue;
            }
            self.send_heartbeat(node, &target);
        }
    }

    /// Returns whether a daemon has removed the target from its membership.
    fn is_removed(&self, node: usize, target: &Target) -> bool {
        let known = target.id.as_ref().and_then(|id| self.nodes[node].membership.find(id));
        known.is_some_and(|member| member.state == MemberState::Removed)
    }

    /// Sends a heartbeat, delivers the answer, and runs the fetches that follow.
    fn send_heartbeat(&mut self, from: usize, target: &Target) {
        let to = node_number(target.addr);
        let heartbeat = self.compose(from, to);
        if self.is_lost() {
            if self.is_lost() {
                self.delayed.push(DelayedMessage::Heartbeat(to, heartbeat));
            }
            return self.nodes[from].membership.record_failed_heartbeat(self.now_ms, &id(to));
        }
        let is_duplicated = self.is_lost();
        let Some(answer) = self.deliver(to, &heartbeat).filter(|_| self.reaches(from, to)) else {
            return self.nodes[from].membership.record_failed_heartbeat(self.now_ms, &id(to));
        };
        if is_duplicated {
            self.delayed.push(DelayedMessage::Heartbeat(to, heartbeat));
        }
        if self.is_lost() {
            return self.nodes[from].membership.record_failed_heartbeat(self.now_ms, &id(to));
        }
        for topic in self.nodes[from].receive(self.now_ms, &answer, self.bug) {
            self.fetch(topic, from, to);
        }
    }

    /// Delivers a heartbeat and returns the answer; `None` if the receiver is paused or cannot be reached.
    fn deliver(&mut self, to: usize, heartbeat: &Heartbeat) -> Option<Heartbeat> {
        let from = node_number(heartbeat.from.addr);
        if self.nodes[to].is_paused || !self.reaches(from, to) {
            return None;
        }
        for topic in self.nodes[to].receive(self.now_ms, heartbeat, self.bug) {
            self.fetch(topic, to, from);
        }
        Some(self.compose(to, from))
    }

    fn fetch(&mut self, topic: Topic, from: usize, to: usize) {
        if self.nodes[to].is_paused || !self.reaches(from, to) || self.is_lost() {
            return;
        }
        let request = self.nodes[from].fetch_request(topic);
        let update = self.nodes[to].answer_fetch(&request, self.bug);
        if self.is_lost() {
            self.delayed.push(DelayedMessage::Update(from, topic, update));
        } else {
            self.nodes[from].apply_update(topic, &update, self.bug);
        }
    }

    /// Composes a heartbeat, checks its encoded size, and returns it decoded.
    fn compose(&mut self, from: usize, to: usize) -> Heartbeat {
        let heartbeat = self.nodes[from].heartbeat(Some(&id(to)), &mut self.rng);
        let encoded = Message::Heartbeat(heartbeat).encode().unwrap();
        assert!(encoded.len() <= MAX_HEARTBEAT_BYTES, "a heartbeat has {} bytes", encoded.len());
        match Message::decode(&encoded).unwrap() {
            Message::Heartbeat(heartbeat) => heartbeat,
            other => panic!("{other:?} is not a heartbeat"),
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let is_partitioned = |node: usize| self.partitioned_domains & (1 << (node % DOMAINS)) != 0;
        is_partitioned(a) == is_partitioned(b)
    }

    /// Decides at random whether a fault happens to a message, with a probability of `loss_pct`.
    fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.loss_pct
    }
}

/// Returns whether a step makes the platform return its latest revision, unless there is an outage.
fn publishes_revision(step: Step) -> bool {
    matches!(step, Step::DocumentChange)
}

fn seed_nodes() -> Vec<Target> {
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
