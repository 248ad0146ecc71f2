//! Gossip membership of the daemons, as seen by one of them.

use crate::{
    incarnation::Incarnation, member::Member, member_record::MemberRecord,
    member_state::MemberState, options::Options, stats::Stats, target::Target,
};
use base::{HashMap, VmId};
use rand::{RngExt, rngs::SmallRng, seq::SliceRandom};
use std::cmp::Reverse;

/// Interval in ticks of the heartbeats within the own failure domain. All other ticks send to the other domains. If a
/// tick finds no live member in the own domain, it sends to the other domains, and vice versa.
const LOCAL_HEARTBEAT_TICKS: u64 = 3;

/// Number of messages that carry a change, for each binary digit of the number of members.
const RETRANSMITS_PER_BIT: u32 = 3;

/// Membership table and failure detector of one daemon. All times are in milliseconds of one monotonic clock.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    /// Whether this daemon trusts its own view of the membership.
    is_trusted: bool,
    /// Time at which this daemon last resumed after a pause, or at which it started.
    resumed_ms: u64,
    options: Options,
    stats: Stats,
    members: HashMap<VmId, MemberRecord>,
    /// Addresses from the settings and the platform's list. They are probed, but do not count as members.
    seed_nodes: Vec<Target>,
    /// Rest of the shuffled heartbeat round through the own failure domain.
    local_round: Vec<VmId>,
    /// Rest of the shuffled heartbeat round through the other failure domains.
    remote_round: Vec<VmId>,
    /// Number of ticks so far, which decides whether a heartbeat stays in the own failure domain.
    ticks: u64,
    last_tick_ms: u64,
    /// Time of the last probe of a daemon that is not live, or of the start.
    last_probe_ms: u64,
}

impl Membership {
    /// Creates a membership that knows only this daemon.
    pub fn new(own: Member, options: Options, now_ms: u64) -> Self {
        Self {
            own,
            is_trusted: true,
            resumed_ms: now_ms,
            options,
            stats: Stats::default(),
            members: HashMap::default(),
            seed_nodes: Vec::new(),
            local_round: Vec::new(),
            remote_round: Vec::new(),
            ticks: 0,
            last_tick_ms: now_ms,
            last_probe_ms: now_ms,
        }
    }

    /// Returns the current report of this daemon about itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns whether this daemon trusts its own view. After a pause it doesn't, until it hears from a trusted daemon
    /// or `Options::distrust_timeout_ms` has passed.
    pub fn is_trusted(&self) -> bool {
        self.is_trusted
    }

    /// Returns the counters of suspicions, removals, returns and pauses since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Returns the options that the membership was created with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the last report about another daemon, also if that daemon was removed; `None` if it is unknown.
    pub fn find(&self, id: &VmId) -> Option<&Member> {
        self.members.get(id).map(|record| &record.member)
    }

    /// Returns the other daemons that count as live, including suspects until they are removed.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let members = self.members.values().map(|record| &record.member);
        members.filter(|member| member.state != MemberState::Removed)
    }

    /// Replaces the addresses at which daemons may run, from the settings and the platform's list.
    pub fn set_seed_nodes(&mut self, seed_nodes: Vec<Target>) {
        self.seed_nodes = seed_nodes;
    }

    /// Advances the time to `now_ms` and returns the targets of the next heartbeats.
    pub fn tick(&mut self, now_ms: u64, rng: &mut SmallRng) -> Vec<Target> {
        if now_ms.saturating_sub(self.last_tick_ms) > self.options.pause_threshold_ms {
            self.handle_pause(now_ms);
        }
        self.last_tick_ms = now_ms;
        // Daemons that were paused together find no trusted daemon among them, so distrust ends by itself.
        if now_ms.saturating_sub(self.resumed_ms) >= self.options.distrust_timeout_ms {
            self.is_trusted = true;
        }
        self.expire_members(now_ms);
        self.ticks += 1;
        let mut targets: Vec<Target> = self.next_member(rng).into_iter().collect();
        let is_alone = targets.is_empty();
        if is_alone || now_ms.saturating_sub(self.last_probe_ms) >= self.options.probe_interval_ms {
            self.last_probe_ms = now_ms;
            targets.extend(self.probe_target(rng));
        }
        targets
    }

    /// Chooses live daemons at random that are told immediately of a new version of a text or of the shutdown of this
    /// daemon.
    pub fn announcement_targets(&self, rng: &mut SmallRng) -> Vec<Target> {
        let mut live: Vec<Target> = self.live().map(heartbeat_target).collect();
        let (chosen, _) = live.partial_shuffle(rng, self.options.announcement_count);
        chosen.to_vec()
    }

    /// Returns the reports for a message to `to`: first the report about the receiver, then recent changes, then others
    /// at random, up to `Options::max_records_bytes`. There are none while this daemon doesn't trust its own view.
    pub fn records_for(&mut self, to: Option<&VmId>, rng: &mut SmallRng) -> Vec<Member> {
        if !self.is_trusted {
            return Vec::new();
        }
        // A removal is gossiped in a limited number of messages. Otherwise daemons would keep reminding each other of
        // it forever.
        let is_sent = |record: &&MemberRecord| {
            record.member.state != MemberState::Removed
                || record.retransmits_left > 0
                || Some(&record.member.id) == to
        };
        let records = self.members.values().filter(is_sent);
        let mut ids: Vec<VmId> = records.map(|record| record.member.id.clone()).collect();
        // Sorting first makes the shuffle depend on the seed only and not on the order of the hash map.
        ids.sort_unstable();
        ids.shuffle(rng);
        ids.sort_by_key(|id| {
            let retransmits_left = self.members.get(id).map_or(0, |record| record.retransmits_left);
            (Some(id) != to, Reverse(retransmits_left))
        });
        let mut remaining_bytes = self.options.max_records_bytes;
        let mut records = Vec::new();
        for id in ids {
            let Some(record) = self.members.get_mut(&id) else { continue };
            let Some(remaining) = remaining_bytes.checked_sub(record.member.size_bytes()) else {
                break;
            };
            remaining_bytes = remaining;
            record.retransmits_left = record.retransmits_left.saturating_sub(1);
            records.push(record.member.clone());
        }
        records
    }

    /// Applies a heartbeat or an answer to one.
    ///
    /// If the sender doesn't trust its own view, or this daemon has removed the sender, only the report about the
    /// sender itself and a report about this daemon are applied.
    pub fn receive(&mut self, now_ms: u64, from: &Member, is_trusted: bool, records: &[Member]) {
        self.apply_report(now_ms, from);
        let is_sender_live =
            self.find(&from.id).is_some_and(|member| member.state != MemberState::Removed);
        // A report about this daemon can only raise its incarnation, so it is applied whoever sends it.
        for record in records {
            if record.id == self.own.id || (is_trusted && is_sender_live) {
                self.apply_report(now_ms, record);
            }
        }
        if is_trusted {
            self.is_trusted = true;
        }
    }

    /// Records that a daemon didn't answer a heartbeat, which makes an alive member a suspect. Ignored while this
    /// daemon doesn't trust its own view.
    pub fn record_failed_heartbeat(&mut self, now_ms: u64, id: &VmId) {
        if !self.is_trusted {
            return;
        }
        let Some(member) = self.find(id) else { return };
        if member.state == MemberState::Alive {
            let suspect = Member { state: MemberState::Suspect, ..member.clone() };
            self.apply_report(now_ms, &suspect);
        }
    }

    /// Returns the report that this daemon is removed, for the last heartbeats before a shutdown.
    pub fn own_as_removed(&self) -> Member {
        Member { state: MemberState::Removed, ..self.own.clone() }
    }

    /// Makes this daemon distrust its view after a pause, and raises its incarnation, so that reports from before the
    /// pause are superseded.
    fn handle_pause(&mut self, now_ms: u64) {
        self.stats.pauses += 1;
        self.raise_incarnation(self.own.incarnation);
        // Without other live daemons there is no view to catch up with.
        let is_alone = self.live().next().is_none();
        self.is_trusted = is_alone;
        self.resumed_ms = now_ms;
        for record in self.members.values_mut() {
            record.since_ms = now_ms;
        }
    }

    /// Raises the own incarnation above `seen` and above its current value.
    fn raise_incarnation(&mut self, seen: Incarnation) {
        self.own.incarnation = self.own.incarnation.max(seen).next();
    }

    /// Removes suspects whose timeout has passed, and drops removed members after `Options::removed_retention_ms`.
    fn expire_members(&mut self, now_ms: u64) {
        let Options { suspicion_timeout_ms, removed_retention_ms, .. } = self.options;
        let retransmits_left = self.retransmit_limit();
        let is_trusted = self.is_trusted;
        let mut removals = 0;
        self.members.retain(|_, record| {
            let age_ms = now_ms.saturating_sub(record.since_ms);
            match record.member.state {
                MemberState::Suspect if is_trusted && age_ms >= suspicion_timeout_ms => {
                    record.member.state = MemberState::Removed;
                    record.since_ms = now_ms;
                    record.retransmits_left = retransmits_left;
                    removals += 1;
                    true
                }
                MemberState::Removed => age_ms < removed_retention_ms,
                _ => true,
            }
        });
        self.stats.removals += removals;
    }

    /// Applies a report if it supersedes the known one. A report that supersedes this daemon's own state is refuted
    /// with a higher incarnation.
    fn apply_report(&mut self, now_ms: u64, report: &Member) {
        if report.id == self.own.id {
            if report.supersedes(&self.own) {
                self.raise_incarnation(report.incarnation);
            }
            return;
        }
        let retransmits_left = self.retransmit_limit();
        let record = MemberRecord { member: report.clone(), since_ms: now_ms, retransmits_left };
        let Some(known) = self.members.get_mut(&report.id) else {
            self.stats.suspicions += u64::from(report.state == MemberState::Suspect);
            self.members.insert(report.id.clone(), record);
            return;
        };
        if !report.supersedes(&known.member) {
            return;
        }
        match (known.member.state, report.state) {
            (MemberState::Suspect, MemberState::Alive) => self.stats.refuted += 1,
            (MemberState::Removed, MemberState::Alive) => self.stats.returns += 1,
            (MemberState::Alive, MemberState::Suspect) => self.stats.suspicions += 1,
            (MemberState::Alive | MemberState::Suspect, MemberState::Removed) => {
                self.stats.removals += 1;
            }
            _ => {}
        }
        *known = record;
    }

    /// Returns the next live daemon of a shuffled round. Rounds bound the time until each daemon gets a heartbeat.
    fn next_member(&mut self, rng: &mut SmallRng) -> Option<Target> {
        let is_local = self.ticks.is_multiple_of(LOCAL_HEARTBEAT_TICKS);
        for is_local in [is_local, !is_local] {
            // The second pass starts a new round, because the current one may hold only daemons that are no longer
            // live.
            for _ in 0..2 {
                while let Some(id) = self.round_mut(is_local).pop() {
                    let member = self.find(&id).filter(|m| m.state != MemberState::Removed);
                    if let Some(member) = member {
                        return Some(heartbeat_target(member));
                    }
                }
                let own_domain = &self.own.domain;
                let members = self.live().filter(|m| (m.domain == *own_domain) == is_local);
                let mut ids: Vec<VmId> = members.map(|member| member.id.clone()).collect();
                ids.sort_unstable();
                ids.shuffle(rng);
                *self.round_mut(is_local) = ids;
            }
        }
        None
    }

    /// Returns the rest of the round through the own failure domain if `is_local`, otherwise through the other domains.
    fn round_mut(&mut self, is_local: bool) -> &mut Vec<VmId> {
        if is_local { &mut self.local_round } else { &mut self.remote_round }
    }

    /// Chooses a daemon that is not live in this table: a removed member, or a seed node that is not in the table.
    fn probe_target(&self, rng: &mut SmallRng) -> Option<Target> {
        let removed = self.members.values().map(|record| &record.member);
        let removed =
            removed.filter(|member| member.state == MemberState::Removed).map(heartbeat_target);
        let seed_nodes = self.seed_nodes.iter().filter(|node| {
            node.id.as_ref() != Some(&self.own.id)
                && node.addr != self.own.addr
                && self.members.values().all(|record| record.member.addr != node.addr)
        });
        let mut targets: Vec<Target> = removed.chain(seed_nodes.cloned()).collect();
        targets.sort_unstable_by_key(|target| target.addr);
        let position = rng.random_range(0..targets.len().max(1));
        targets.get(position).cloned()
    }

    /// Returns the number of messages that carry a change, which grows with the logarithm of the number of members.
    fn retransmit_limit(&self) -> u32 {
        RETRANSMITS_PER_BIT * (usize::BITS - (self.members.len() + 1).leading_zeros())
    }
}

fn heartbeat_target(member: &Member) -> Target {
    Target { id: Some(member.id.clone()), addr: member.addr }
}
