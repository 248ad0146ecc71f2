//! Membership of one daemon.

use crate::{
    incarnation::Incarnation, member::Member, member_state::MemberState, options::Options,
    record::Record, stats::Stats, target::Target,
};
use base::{HashMap, VmId};
use rand::{RngExt, rngs::SmallRng, seq::SliceRandom};
use std::cmp::Reverse;

/// One in so many ticks goes to a daemon of the own failure domain, the others go to other domains.
const NEAR_SHARE: u64 = 3;

/// Messages that carry a change, for each binary digit of the number of members.
const RUMORS_PER_DIGIT: u32 = 3;

/// Membership of one daemon.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    is_trusted: bool,
    woken_ms: u64,
    options: Options,
    stats: Stats,
    members: HashMap<VmId, Record>,
    /// Addresses from the settings and the platform's list. They are tried and not believed.
    hints: Vec<Target>,
    near: Vec<VmId>,
    far: Vec<VmId>,
    ticks: u64,
    last_tick_ms: u64,
    last_probe_ms: u64,
}

impl Membership {
    /// Membership that knows only this daemon.
    pub fn new(own: Member, options: Options, now_ms: u64) -> Self {
        Self {
            own,
            is_trusted: true,
            woken_ms: now_ms,
            options,
            stats: Stats::default(),
            members: HashMap::default(),
            hints: Vec::new(),
            near: Vec::new(),
            far: Vec::new(),
            ticks: 0,
            last_tick_ms: now_ms,
            last_probe_ms: now_ms,
        }
    }

    /// This daemon.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Whether this daemon has heard from a live one since its last pause.
    pub fn is_trusted(&self) -> bool {
        self.is_trusted
    }

    /// Counts.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Options.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Member with an identifier, removed ones included.
    pub fn find(&self, id: &VmId) -> Option<&Member> {
        self.members.get(id).map(|record| &record.member)
    }

    /// Other daemons that count as live; suspects are among them until they are removed.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let members = self.members.values().map(|record| &record.member);
        members.filter(|member| member.state != MemberState::Removed)
    }

    /// Takes addresses that may belong to daemons, in place of the earlier ones.
    pub fn set_seed_nodes(&mut self, hints: Vec<Target>) {
        self.hints = hints;
    }

    /// Advances the time and chooses the receivers of heartbeats.
    pub fn tick(&mut self, now_ms: u64, rng: &mut SmallRng) -> Vec<Target> {
        if now_ms.saturating_sub(self.last_tick_ms) > self.options.pause_threshold_ms {
            self.wake(now_ms);
        }
        self.last_tick_ms = now_ms;
        // Daemons that were paused together find no trusted one, so distrust has an end.
        if now_ms.saturating_sub(self.woken_ms) >= self.options.distrust_timeout_ms {
            self.is_trusted = true;
        }
        self.expire(now_ms);
        self.ticks += 1;
        let mut targets: Vec<Target> = self.next_member(rng).into_iter().collect();
        let is_alone = targets.is_empty();
        if is_alone || now_ms.saturating_sub(self.last_probe_ms) >= self.options.probe_interval_ms {
            self.last_probe_ms = now_ms;
            targets.extend(self.probe(rng));
        }
        targets
    }

    /// Live daemons that are told of a new version at once.
    pub fn announcement_targets(&self, rng: &mut SmallRng) -> Vec<Target> {
        let mut live: Vec<Target> = self.live().map(target).collect();
        let (chosen, _) = live.partial_shuffle(rng, self.options.announcement_count);
        chosen.to_vec()
    }

    /// Reports for a message to `to`: first what concerns the receiver, then recent changes, then others at random.
    pub fn records_for(&mut self, to: Option<&VmId>, rng: &mut SmallRng) -> Vec<Member> {
        if !self.is_trusted {
            return Vec::new();
        }
        // A removal is passed on for a short time only. Otherwise daemons would remind each other of it for ever.
        let is_sent = |record: &&Record| {
            record.member.state != MemberState::Removed
                || record.rumors_left > 0
                || Some(&record.member.id) == to
        };
        let records = self.members.values().filter(is_sent);
        let mut ids: Vec<VmId> = records.map(|record| record.member.id.clone()).collect();
        // Sorted first, so that one seed gives one order whatever the hasher does.
        ids.sort_unstable();
        ids.shuffle(rng);
        ids.sort_by_key(|id| {
            let rumors_left = self.members.get(id).map_or(0, |record| record.rumors_left);
            (Some(id) != to, Reverse(rumors_left))
        });
        let mut rest_bytes = self.options.max_records_bytes;
        let mut records = Vec::new();
        for id in ids {
            let Some(record) = self.members.get_mut(&id) else { continue };
            let Some(left) = rest_bytes.checked_sub(record.member.size_bytes()) else { break };
            rest_bytes = left;
            record.rumors_left = record.rumors_left.saturating_sub(1);
            records.push(record.member.clone());
        }
        records
    }

    /// Takes a heartbeat or an answer to one.
    ///
    /// Reports of a sender that is not trusted, or that this daemon has removed, are ignored except for its own.
    pub fn receive(&mut self, now_ms: u64, from: &Member, is_trusted: bool, records: &[Member]) {
        self.merge(now_ms, from);
        let is_believed =
            self.find(&from.id).is_some_and(|member| member.state != MemberState::Removed);
        // A report about this daemon itself can only raise its incarnation, so it is taken from anyone.
        for record in records {
            if record.id == self.own.id || (is_trusted && is_believed) {
                self.merge(now_ms, record);
            }
        }
        if is_trusted {
            self.is_trusted = true;
        }
    }

    /// Notes that a daemon did not answer a heartbeat.
    pub fn record_failed_heartbeat(&mut self, now_ms: u64, id: &VmId) {
        if !self.is_trusted {
            return;
        }
        let Some(member) = self.find(id) else { return };
        if member.state == MemberState::Alive {
            let suspect = Member { state: MemberState::Suspect, ..member.clone() };
            self.merge(now_ms, &suspect);
        }
    }

    /// This daemon as one that has left, for the last heartbeats before a shutdown.
    pub fn own_as_removed(&self) -> Member {
        Member { state: MemberState::Removed, ..self.own.clone() }
    }

    fn wake(&mut self, now_ms: u64) {
        self.stats.pauses += 1;
        self.raise(self.own.incarnation);
        // Without others there is nobody to join anew.
        let is_alone = self.live().next().is_none();
        self.is_trusted = is_alone;
        self.woken_ms = now_ms;
        for record in self.members.values_mut() {
            record.since_ms = now_ms;
        }
    }

    fn raise(&mut self, seen: Incarnation) {
        self.own.incarnation = self.own.incarnation.max(seen).next();
    }

    fn expire(&mut self, now_ms: u64) {
        let Options { suspicion_timeout_ms, removed_retention_ms, .. } = self.options;
        let rumors_left = self.rumor_count();
        let is_trusted = self.is_trusted;
        let mut removals = 0;
        self.members.retain(|_, record| {
            let age_ms = now_ms.saturating_sub(record.since_ms);
            match record.member.state {
                MemberState::Suspect if is_trusted && age_ms >= suspicion_timeout_ms => {
                    record.member.state = MemberState::Removed;
                    record.since_ms = now_ms;
                    record.rumors_left = rumors_left;
                    removals += 1;
                    true
                }
                MemberState::Removed => age_ms < removed_retention_ms,
                _ => true,
            }
        });
        self.stats.removals += removals;
    }

    fn merge(&mut self, now_ms: u64, report: &Member) {
        if report.id == self.own.id {
            if report.supersedes(&self.own) {
                self.raise(report.incarnation);
            }
            return;
        }
        let rumors_left = self.rumor_count();
        let record = Record { member: report.clone(), since_ms: now_ms, rumors_left };
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

    /// Next live daemon in a shuffled round, so that each one is reached within a bounded time.
    fn next_member(&mut self, rng: &mut SmallRng) -> Option<Target> {
        let is_near = self.ticks.is_multiple_of(NEAR_SHARE);
        for is_near in [is_near, !is_near] {
            // Two passes, because a round may hold only daemons that are no longer live.
            for _ in 0..2 {
                while let Some(id) = self.round(is_near).pop() {
                    let member = self.find(&id).filter(|m| m.state != MemberState::Removed);
                    if let Some(member) = member {
                        return Some(target(member));
                    }
                }
                let own_domain = &self.own.domain;
                let members = self.live().filter(|m| (m.domain == *own_domain) == is_near);
                let mut ids: Vec<VmId> = members.map(|member| member.id.clone()).collect();
                ids.sort_unstable();
                ids.shuffle(rng);
                *self.round(is_near) = ids;
            }
        }
        None
    }

    fn round(&mut self, is_near: bool) -> &mut Vec<VmId> {
        if is_near { &mut self.near } else { &mut self.far }
    }

    /// A daemon that is not live here: removed, or known from a hint only.
    fn probe(&self, rng: &mut SmallRng) -> Option<Target> {
        let removed = self.members.values().map(|record| &record.member);
        let removed = removed.filter(|member| member.state == MemberState::Removed).map(target);
        let hints = self.hints.iter().filter(|hint| {
            hint.id.as_ref() != Some(&self.own.id)
                && hint.addr != self.own.addr
                && self.members.values().all(|record| record.member.addr != hint.addr)
        });
        let mut targets: Vec<Target> = removed.chain(hints.cloned()).collect();
        targets.sort_unstable_by_key(|target| target.addr);
        let position = rng.random_range(0..targets.len().max(1));
        targets.get(position).cloned()
    }

    fn rumor_count(&self) -> u32 {
        RUMORS_PER_DIGIT * (usize::BITS - (self.members.len() + 1).leading_zeros())
    }
}

fn target(member: &Member) -> Target {
    Target { id: Some(member.id.clone()), addr: member.addr }
}
