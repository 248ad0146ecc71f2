//! One rollout, as one daemon knows it.

use crate::{
    allocation::{allocate, next_share, own_share, shift_share},
    answer::Answer,
    audience::Audience,
    bounds::RolloutBounds,
    finding::Finding,
    instance_set::InstanceSet,
    new_request::NewRequest,
    order::RolloutOrder,
    pass::Pass,
    phase::Phase,
    reply::RolloutReply,
    report::RolloutReport,
    rollout_start::RolloutStart,
    route_counts::RouteCounts,
    route_key::RouteKey,
    snapshots::Snapshots,
    state::RolloutState,
    suspended_version::SuspendedVersion,
    timing::Timing,
    totals::Totals,
    usable_versions::UsableVersions,
    version_choice::VersionChoice,
};
use affinity::SoftwareVersion;
use base::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Shortest time between two reports after answers of the target version.
const URGENT_REPORT_MS: u64 = 50;

/// Shortest age of an order whose target version can be found good.
const MIN_AGE_MS: u64 = 5_000;

/// Time before the end of the duration at which a rollout is completed or rolled back at the latest. It covers the write
/// of the status and the time from the write of the order to the first daemon that reads it.
const END_MARGIN_MS: u64 = 1_500;

/// Time for which no request must be reported at old versions before the rollout is completed.
const QUIET_MS: u64 = 1_000;

/// Part of the listed daemons that must have reported a short time ago before a version is found good. A failure domain of
/// three may be lost.
const MIN_REPORTING: f64 = 0.6;

/// Additional evidence, as a natural logarithm, by which a daemon that is no judge stops by itself.
const OWN_EVIDENCE: f64 = 2.3;

/// Additional time in which a judge that hears of too few daemons leaves the verdict to the others. It exceeds the delay
/// after which the second judge writes the status.
const UNHEARD_MARGIN_MS: u64 = 1_200;

/// Time for which a judge plans the next shares: the age of reports and the time until the advice is followed.
const HORIZON_MS: u64 = 800;

/// Mean time that the answers before the order cover.
const BEFORE_MS: f64 = 30_000.0;

/// Evidence, as a natural logarithm, that is not needed once a version was found good: a bad one gets much more traffic
/// from then on, and completing it costs more than a rollback. The odds are 100.
const SHIFT_EVIDENCE: f64 = -3.0;

/// Largest credit of a route. More would send a series of requests to the target version.
const MAX_CREDIT: f64 = 2.0;

/// Largest number of routes that are told apart, as many as fit into a datagram.
const MAX_ROUTES: usize = 16;

/// Largest number of daemon lifetimes whose reports are kept.
const MAX_REPORTS: usize = 4_096;

/// Largest number of revisions by which an order is known.
const MAX_REVISIONS: usize = 16;

/// Largest number of old and of suspended versions that are remembered.
const MAX_VERSIONS: usize = 8;

/// Slots of the target's instances, as a part of those of the old ones, that suffice for all traffic.
const ENOUGH_SLOTS: f64 = 0.7;

/// Number of times that a verdict is sent to all daemons.
const BROADCASTS: u32 = 3;

/// Unit of shares in replies.
const SHARE_UNIT: f64 = 10_000.0;

/// One rollout, as one daemon knows it.
#[derive(Debug)]
pub(crate) struct Rollout {
    pub order: RolloutOrder,
    /// Revisions at which the order was written, the first one first.
    revisions: Vec<u64>,
    /// Revision in the present era of the store after which a status for the target version is about this order.
    status_floor: u64,
    /// Number of the rollout at this daemon.
    pub number: u64,
    lifetime: u64,
    bounds: RolloutBounds,
    timing: Timing,
    seen_ms: u64,
    /// Whether the order was found in a list, so that it may have run for any time.
    is_listed: bool,
    /// Age of the order when this daemon saw it.
    first_age_ms: u64,
    /// Versions of replaced orders that are not among the old ones.
    pub suspended: Vec<SuspendedVersion>,
    /// Versions that have got requests as old ones.
    old_versions: Vec<SoftwareVersion>,
    /// Whether the target version is the one that served before the replaced order. Such an order is not evaluated: the
    /// other version would get nine tenths of the requests in the meantime.
    is_return: bool,
    pub phase: Phase,
    phase_ms: u64,
    /// Number of daemons among which the slack is divided.
    daemons: usize,
    /// Position among the judges; `None` if this daemon is none.
    pub rank: Option<usize>,
    /// Credit of each route, from which a request to the target version takes 1.
    credits: HashMap<RouteKey, f64>,
    /// When this daemon, as a judge, last heard of enough daemons; `None` before the first time.
    heard_ms: Option<u64>,
    /// When a judge last advised the shares; `None` before the first time.
    advised_ms: Option<u64>,
    shares: HashMap<RouteKey, f64>,
    /// Largest share that the slots of the target's instances can serve.
    capacity: f64,
    default_share: f64,
    routes: HashMap<RouteKey, RouteCounts>,
    used: InstanceSet,
    bad: InstanceSet,
    reported_ms: Option<u64>,
    has_news: bool,
    /// Last report of each daemon lifetime, with the time at which it arrived.
    reports: HashMap<u64, (RolloutReport, u64)>,
    /// Counts of daemons before they began to count anew.
    earlier: Totals,
    snapshots: Snapshots,
    /// Since when no request is reported at old versions.
    quiet_since_ms: Option<u64>,
    broadcasts: u32,
    broadcast_ms: u64,
    /// State that is to be written to the store, and since when.
    wanted: Option<(RolloutState, u64)>,
    /// Whether this daemon has found the version bad without being a judge, and no judge has confirmed that yet.
    is_own_verdict: bool,
    /// What the last verdict was based on.
    pub finding: Option<Finding>,
}

impl Rollout {
    pub fn new(order: RolloutOrder, start: RolloutStart) -> Self {
        let RolloutStart {
            revision,
            is_listed,
            number,
            lifetime,
            bounds,
            before,
            suspended,
            is_return,
            now_ms,
        } = start;
        let counts = |before| RouteCounts { before, ..RouteCounts::default() };
        let snapshots = Snapshots::new(order.duration_ms);
        let routes = before.into_iter().take(MAX_ROUTES).map(|(key, before)| (key, counts(before)));
        Self {
            order,
            revisions: vec![revision],
            status_floor: revision,
            number,
            lifetime,
            bounds,
            timing: Timing::new(bounds.rollback_ms),
            seen_ms: now_ms,
            is_listed,
            first_age_ms: 0,
            suspended,
            old_versions: Vec::new(),
            is_return,
            phase: if is_return { Phase::Shifting } else { Phase::Evaluating },
            phase_ms: now_ms,
            daemons: 1,
            rank: None,
            credits: HashMap::default(),
            heard_ms: None,
            advised_ms: None,
            shares: HashMap::default(),
            capacity: 1.0,
            default_share: if is_return { 1.0 } else { own_share(&bounds) },
            routes: routes.collect(),
            used: InstanceSet::default(),
            bad: InstanceSet::default(),
            reported_ms: None,
            has_news: false,
            reports: HashMap::default(),
            earlier: Totals::default(),
            snapshots,
            quiet_since_ms: None,
            broadcasts: 0,
            broadcast_ms: 0,
            wanted: None,
            is_own_verdict: false,
            finding: None,
        }
    }

    /// Age of the order.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.seen_ms) + self.first_age_ms
    }

    /// Takes over the age that another daemon knows, if that is larger.
    fn learn_age(&mut self, age_ms: u64, now_ms: u64) {
        let own_ms = now_ms.saturating_sub(self.seen_ms);
        // A larger age than that is an error, and must not end the rollout at once everywhere.
        let age_ms = age_ms.min(self.order.duration_ms.saturating_mul(2));
        self.first_age_ms = self.first_age_ms.max(age_ms.saturating_sub(own_ms));
    }

    /// Takes note that the order was written again with the same content.
    pub fn add_revision(&mut self, revision: u64) {
        if self.revisions.contains(&revision) {
            return;
        }
        if self.revisions.len() >= MAX_REVISIONS {
            self.revisions.remove(1);
        }
        self.revisions.push(revision);
    }

    /// Whether `revision` is one of the order's.
    pub fn has_revision(&self, revision: u64) -> bool {
        self.revisions.contains(&revision)
    }

    /// Whether a status that was written at `revision` is about this order.
    pub fn precedes(&self, revision: u64) -> bool {
        self.status_floor < revision
    }

    /// Takes note that statuses written after `revision` are about this order: after a restoration, the store gives out
    /// revisions again that are lower than the order's.
    pub fn lower_status_floor(&mut self, revision: u64) {
        self.status_floor = self.status_floor.min(revision);
    }

    fn last_revisions(&self) -> [u64; 2] {
        let first = self.revisions.first().copied().unwrap_or(0);
        [first, self.revisions.last().copied().unwrap_or(first)]
    }

    fn is_same(&self, target: &SoftwareVersion, revisions: [u64; 2]) -> bool {
        *target == self.order.target && revisions.iter().any(|at| self.revisions.contains(at))
    }

    /// Whether the target version was found bad, or has not been found good yet.
    fn is_undecided_or_bad(&self) -> bool {
        matches!(self.phase, Phase::Evaluating | Phase::RolledBack)
    }

    /// Versions that are suspended once an order for `target` replaces this one.
    pub fn suspended_after(&self, target: &SoftwareVersion) -> Vec<SuspendedVersion> {
        let mut suspended = self.suspended.clone();
        suspended.retain(|suspended| suspended.version != self.order.target);
        if self.is_undecided_or_bad() {
            let is_bad = self.phase == Phase::RolledBack;
            suspended.push(SuspendedVersion { version: self.order.target.clone(), is_bad });
        }
        suspended.retain(|suspended| suspended.version != *target);
        let excess = suspended.len().saturating_sub(MAX_VERSIONS);
        suspended.drain(..excess);
        suspended
    }

    /// Whether an order for `target` goes back to a version that served before this order.
    pub fn is_left_for(&self, target: &SoftwareVersion) -> bool {
        self.is_undecided_or_bad() && self.old_versions.contains(target)
    }

    /// Versions that get no requests: the target, and the suspended ones. Those that were not found bad serve if no other
    /// is left.
    fn excluded(&self, may_use_suspended: bool) -> VersionChoice {
        let suspended = self.suspended.iter().filter(|one| one.is_bad || !may_use_suspended);
        let versions = suspended.map(|suspended| suspended.version.clone());
        VersionChoice::Without(versions.chain([self.order.target.clone()]).collect())
    }

    /// Changes the phase. Returns whether it is another one than before.
    pub fn set_phase(&mut self, phase: Phase, now_ms: u64) -> bool {
        if self.phase == phase {
            return false;
        }
        self.phase = phase;
        self.phase_ms = now_ms;
        true
    }

    /// Key by which a route is counted.
    fn counted(&self, route: RouteKey) -> RouteKey {
        match self.routes.contains_key(&route) || self.routes.len() < MAX_ROUTES {
            true => route,
            // Routes beyond the limit are counted with one that exists.
            false => self.routes.keys().copied().min().unwrap_or(route),
        }
    }

    fn share(&self, route: RouteKey) -> f64 {
        let share = self.shares.get(&route).copied().unwrap_or(self.default_share);
        if self.phase == Phase::Shifting { share.min(self.capacity) } else { share }
    }

    fn is_full(&self, route: RouteKey) -> bool {
        self.phase == Phase::Shifting && self.share(route) >= 1.0
    }

    /// Decides at which versions a request may run. `required` is the version at which a stream began.
    pub fn choose(
        &mut self,
        pass: &mut Pass,
        route: RouteKey,
        required: Option<&SoftwareVersion>,
        usable: UsableVersions,
        now_ms: u64,
    ) -> VersionChoice {
        let target = self.order.target.clone();
        let preferred = |is_concentrated| VersionChoice::Prefer {
            version: self.order.target.clone(),
            is_concentrated,
        };
        pass.may_use_suspended = !usable.old && usable.suspended;
        let without = self.excluded(pass.may_use_suspended);
        let has_old = usable.old || usable.suspended;
        match self.phase {
            Phase::RolledBack => return without,
            _ if required.is_some_and(|required| self.is_suspended_as_bad(required)) => {
                return without;
            }
            _ if required.is_some() => return VersionChoice::Any,
            Phase::Completed => return preferred(false),
            Phase::Evaluating | Phase::Shifting => {}
        }
        let route = self.counted(route);
        self.capacity = if usable.slots_ratio >= ENOUGH_SLOTS { 1.0 } else { usable.slots_ratio };
        if pass.rollout != self.number {
            let is_new = self.draw(route, usable, now_ms);
            *pass = Pass { rollout: self.number, is_new, is_sent: false, ..*pass };
        }
        let is_over = self.age_ms(now_ms) > self.order.duration_ms;
        if is_over && self.phase == Phase::Evaluating {
            if has_old {
                return without;
            }
            // The rollout was completed, and this daemon has not been told.
            *pass = Pass { is_new: true, is_sent: false, ..*pass };
            return VersionChoice::Any;
        }
        let is_new = pass.is_new && !pass.is_sent || self.is_full(route);
        let is_allowed = self.is_informed(now_ms) || self.phase == Phase::Shifting && !has_old;
        match is_new && (is_allowed || self.is_return) && usable.target {
            true => VersionChoice::Prefer {
                version: target,
                is_concentrated: self.phase == Phase::Evaluating,
            },
            false => without,
        }
    }

    fn is_suspended_as_bad(&self, version: &SoftwareVersion) -> bool {
        self.suspended.iter().any(|suspended| suspended.is_bad && suspended.version == *version)
    }

    /// Whether this daemon would know by now if the version had been found bad a short time ago.
    fn is_informed(&self, now_ms: u64) -> bool {
        let since_ms = match self.rank {
            Some(_) => self.heard_ms,
            None => self.advised_ms,
        };
        // A daemon that has not seen the order's write sends nothing before it has heard: the version may have been found bad
        // before the daemon's start.
        let seen_ms = (!self.is_listed).then_some(self.seen_ms);
        since_ms.max(seen_ms).is_some_and(|at_ms| now_ms < at_ms + self.timing.uninformed_ms)
    }

    /// Counts a request of a caller, and draws whether it goes to the target version, by systematic sampling.
    fn draw(&mut self, route: RouteKey, usable: UsableVersions, now_ms: u64) -> bool {
        self.routes.entry(route).or_default().requests += 1;
        if !usable.target {
            return false;
        }
        if self.phase == Phase::Evaluating
            && self.advised_ms.is_none_or(|at_ms| now_ms >= at_ms + self.timing.advice_ms)
        {
            self.shares.clear();
            self.default_share = own_share(&self.bounds);
        }
        let share = self.share(route);
        let start = self.start_of(route);
        let credit = self.credits.entry(route).or_insert(start);
        *credit = (*credit + share).min(MAX_CREDIT);
        let is_new = *credit >= 1.0;
        *credit -= f64::from(is_new);
        is_new
    }

    /// Start of the sampling on a route, which is random in [0, 1) and independent between daemons.
    fn start_of(&self, route: RouteKey) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.lifetime, self.number, route).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Whether a request may be sent to an instance of `version` now. Counts the send.
    pub fn permit(
        &mut self,
        pass: &mut Pass,
        route: RouteKey,
        version: &SoftwareVersion,
        required: Option<&SoftwareVersion>,
    ) -> bool {
        if *version != self.order.target {
            return self.permit_other(pass, version, required);
        }
        match self.phase {
            Phase::RolledBack => return false,
            Phase::Completed => return true,
            Phase::Evaluating | Phase::Shifting => {}
        }
        let route = self.counted(route);
        let is_resumed = required == Some(version);
        let is_drawn = pass.rollout == self.number && pass.is_new && !pass.is_sent;
        if !is_resumed && !is_drawn && !self.is_full(route) {
            return false;
        }
        pass.is_sent = true;
        self.routes.entry(route).or_default().sends += 1;
        if is_resumed && let Some(credit) = self.credits.get_mut(&route) {
            *credit -= 1.0;
        }
        true
    }

    /// Whether a request may be sent to an instance of another version than the target.
    fn permit_other(
        &mut self,
        pass: &Pass,
        version: &SoftwareVersion,
        required: Option<&SoftwareVersion>,
    ) -> bool {
        match self.suspended.iter().find(|suspended| suspended.version == *version) {
            Some(suspended) => {
                !suspended.is_bad && (required == Some(version) || pass.may_use_suspended)
            }
            None => {
                if self.old_versions.len() < MAX_VERSIONS && !self.old_versions.contains(version) {
                    self.old_versions.push(version.clone());
                }
                true
            }
        }
    }

    /// Counts an answer to a request.
    pub fn count(&mut self, request: &NewRequest, answer: Answer) {
        let route = self.counted(request.route);
        let is_target = request.version == self.order.target;
        let counts = self.routes.entry(route).or_default();
        answer.add_to(if is_target { &mut counts.target } else { &mut counts.old });
        if is_target {
            self.used.insert(&request.instance);
        }
        if is_target && answer.is_bad() {
            self.bad.insert(&request.instance);
        }
        // Good answers of the version under evaluation are as urgent as bad ones. Of the first answers, judges would otherwise
        // know mostly the bad ones, and find a good version bad.
        self.has_news |= is_target && (answer.is_bad() || self.phase == Phase::Evaluating);
    }

    /// Creates the report of this daemon with the given number. `overdue` are requests without an answer that are slow already.
    pub fn report(
        &self,
        number: u64,
        overdue: &[NewRequest],
        old_running: u32,
        now_ms: u64,
    ) -> RolloutReport {
        let mut routes = self.routes.clone();
        let (mut used, mut bad) = (self.used, self.bad);
        for request in overdue {
            let counts = routes.entry(self.counted(request.route)).or_default();
            let is_target = request.version == self.order.target;
            Answer::Slow.add_to(if is_target { &mut counts.target } else { &mut counts.old });
            if is_target {
                used.insert(&request.instance);
                bad.insert(&request.instance);
            }
        }
        RolloutReport {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            revisions: self.last_revisions(),
            lifetime: self.lifetime,
            number,
            age_ms: self.age_ms(now_ms),
            old_running,
            used,
            bad,
            routes: routes.into_iter().collect(),
        }
    }

    /// Whether a report is due.
    pub fn is_report_due(&self, now_ms: u64) -> bool {
        let interval_ms = if self.has_news { URGENT_REPORT_MS } else { self.timing.report_ms };
        self.reported_ms.is_none_or(|at_ms| now_ms >= at_ms + interval_ms)
    }

    /// Records that the due report was sent.
    pub fn mark_reported(&mut self, now_ms: u64) {
        self.reported_ms = Some(now_ms);
        self.has_news = false;
    }

    /// Keeps the report of a daemon. Returns whether it is about this order.
    pub fn merge_report(&mut self, report: RolloutReport, now_ms: u64) -> bool {
        if !self.is_same(&report.target, report.revisions) {
            return false;
        }
        self.learn_age(report.age_ms, now_ms);
        let known = self.reports.get(&report.lifetime);
        let is_new = known.is_none_or(|(known, _)| known.number < report.number);
        if let Some((known, _)) = known
            && is_new
            && report.requests() < known.requests()
        {
            // The daemon has begun to count anew, because it regards the order as another one.
            self.earlier.add(&RolloutReport { old_running: 0, ..known.clone() });
        }
        if is_new && (known.is_some() || self.reports.len() < MAX_REPORTS) {
            self.reports.insert(report.lifetime, (report, now_ms));
        }
        true
    }

    /// State of the rollout for other daemons.
    pub fn reply(&self, now_ms: u64) -> RolloutReply {
        let units = |share: f64| (share * SHARE_UNIT) as u16;
        RolloutReply {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            revisions: self.last_revisions(),
            age_ms: self.age_ms(now_ms),
            phase: self.phase,
            default_share: units(self.default_share),
            shares: self.shares.iter().map(|(key, share)| (*key, units(*share))).collect(),
        }
    }

    /// Takes over what a judge knows. Returns whether the phase has changed.
    pub fn merge_reply(&mut self, reply: &RolloutReply, now_ms: u64) -> bool {
        if !self.is_same(&reply.target, reply.revisions) {
            return false;
        }
        self.learn_age(reply.age_ms, now_ms);
        self.is_own_verdict &= !reply.phase.is_final();
        let has_changed = match (self.phase, reply.phase) {
            (Phase::Completed, _) => false,
            (_, Phase::Completed | Phase::RolledBack) => self.set_phase(reply.phase, now_ms),
            (Phase::Evaluating, Phase::Shifting) => self.set_phase(reply.phase, now_ms),
            _ => false,
        };
        if reply.phase == self.phase && self.rank.is_none() {
            self.advised_ms = Some(now_ms);
            let share = |units: u16| f64::from(units) / SHARE_UNIT;
            // While the traffic shifts, judges may be at different steps.
            let lowest = if self.phase == Phase::Shifting { self.default_share } else { 0.0 };
            self.default_share = share(reply.default_share).max(lowest);
            self.shares = reply.shares.iter().map(|(key, units)| (*key, share(*units))).collect();
        }
        has_changed
    }

    /// Judges the target version: as a judge by all reports, and else by this daemon's own. Returns whether the phase has
    /// changed.
    pub fn judge(&mut self, daemons: usize, rank: Option<usize>, now_ms: u64) -> bool {
        self.daemons = daemons.max(1);
        self.rank = rank;
        if self.phase.is_final() {
            return false;
        }
        let totals = self.totals();
        if self.is_return {
            self.judge_return(&totals, now_ms);
            return false;
        }
        if rank.is_none() {
            self.finding = totals.finding(std::iter::empty(), OWN_EVIDENCE);
            self.is_own_verdict =
                self.finding.is_some() && self.set_phase(Phase::RolledBack, now_ms);
            return self.is_own_verdict;
        }
        let extra_evidence = if self.phase == Phase::Shifting { SHIFT_EVIDENCE } else { 0.0 };
        self.finding = totals.finding(self.snapshots.tested(), extra_evidence);
        if self.finding.is_some() {
            return self.set_phase(Phase::RolledBack, now_ms);
        }
        self.snapshots.push(&totals, now_ms);
        let age_ms = self.age_ms(now_ms);
        let end_ms = self.order.duration_ms.saturating_sub(END_MARGIN_MS);
        let is_heard = self.is_heard(now_ms);
        if is_heard {
            self.heard_ms = Some(now_ms);
        }
        if self.phase == Phase::Evaluating {
            self.plan_shares(&totals, now_ms);
            let may_be_good = age_ms >= (self.order.duration_ms / 2).max(MIN_AGE_MS);
            if may_be_good
                && age_ms < end_ms
                && is_heard
                && totals.is_good(&self.snapshots.recent(&totals, now_ms))
            {
                self.set_phase(Phase::Shifting, now_ms);
                self.update_shift(now_ms);
                return true;
            }
            let end_ms = if is_heard { end_ms } else { end_ms + UNHEARD_MARGIN_MS };
            return age_ms >= end_ms && self.set_phase(Phase::RolledBack, now_ms);
        }
        self.update_shift(now_ms);
        self.note_quiet(&totals, is_heard, now_ms);
        false
    }

    /// Judges the return to a version that served before, which is completed when the other one has no requests any more.
    fn judge_return(&mut self, totals: &Totals, now_ms: u64) {
        let is_heard = self.is_heard(now_ms);
        if is_heard {
            self.heard_ms = Some(now_ms);
        }
        self.note_quiet(totals, is_heard, now_ms);
    }

    /// Takes note of whether requests run at old versions.
    fn note_quiet(&mut self, totals: &Totals, is_heard: bool, now_ms: u64) {
        let is_quiet = totals.old_running == 0 && self.default_share >= 1.0 && is_heard;
        match is_quiet {
            true => _ = self.quiet_since_ms.get_or_insert(now_ms),
            false => self.quiet_since_ms = None,
        }
    }

    /// Plans the shares of the next moments, by what was sent so far.
    fn plan_shares(&mut self, totals: &Totals, now_ms: u64) {
        let rate_per_s = self.snapshots.rate_per_s(totals, now_ms).unwrap_or_else(|| {
            let before = totals.routes.values().map(|counts| counts.before.answers);
            f64::from(before.sum::<u32>()) * 1_000.0 / BEFORE_MS
        });
        let part = self.age_ms(now_ms) as f64 / self.order.duration_ms.max(1) as f64;
        let share = next_share(&self.bounds, totals, part, rate_per_s, HORIZON_MS);
        let plan = allocate(&self.bounds, share, totals);
        self.shares = plan.routes;
        self.default_share = plan.others;
        self.advised_ms = Some(now_ms);
    }

    fn update_shift(&mut self, now_ms: u64) {
        self.shares.clear();
        let share = shift_share(now_ms.saturating_sub(self.phase_ms));
        self.default_share = self.default_share.max(share);
    }

    /// Whether all traffic has moved, or must be counted as moved because the time is over.
    fn is_complete(&self, now_ms: u64) -> bool {
        let end_ms = self.order.duration_ms.saturating_sub(END_MARGIN_MS);
        let is_quiet = self.quiet_since_ms.is_some_and(|at_ms| now_ms >= at_ms + QUIET_MS);
        self.phase == Phase::Completed
            || self.phase == Phase::Shifting && (is_quiet || self.age_ms(now_ms) >= end_ms)
    }

    /// State that the store should hold by now and since when; `None` if this daemon is no judge.
    pub fn wanted(&mut self, now_ms: u64) -> Option<(RolloutState, u64)> {
        self.rank?;
        let state = match self.phase {
            Phase::RolledBack => RolloutState::RolledBack,
            _ if self.is_complete(now_ms) => RolloutState::Completed,
            _ => RolloutState::Running,
        };
        match self.wanted {
            Some((known, _)) if known == state => {}
            _ => self.wanted = Some((state, now_ms)),
        }
        self.wanted
    }

    /// Whether the judges need this daemon's counts: until they have a verdict, also if this daemon has one of its own.
    pub fn is_reporting(&self) -> bool {
        !self.phase.is_final() || self.is_own_verdict
    }

    /// Daemons that are to be told the verdict; `None` if it need not be sent. `is_stored` tells whether the store holds it.
    fn verdict_audience(&self, is_stored: bool) -> Option<Audience> {
        match self.rank {
            _ if self.phase != Phase::RolledBack => None,
            Some(_) => (self.broadcasts < BROADCASTS).then_some(Audience::All),
            None => (!is_stored && !self.is_own_verdict).then_some(Audience::Judges),
        }
    }

    /// Whether the rollout has not ended, or its verdict is still to be sent.
    pub fn is_active(&self, is_stored: bool) -> bool {
        self.is_reporting() || self.verdict_audience(is_stored).is_some()
    }

    /// Daemons to which the verdict is due to be sent; `None` if it is not.
    pub fn take_verdict(&mut self, is_stored: bool, now_ms: u64) -> Option<Audience> {
        let audience = self.verdict_audience(is_stored)?;
        let due_ms = match (audience, self.broadcasts) {
            (Audience::All, 0) => now_ms,
            // All daemons learn of the verdict at once, and their messages must not arrive at the judges at once.
            (Audience::Judges, 0) => self.phase_ms + self.lifetime % self.timing.report_ms,
            _ => self.broadcast_ms + self.timing.report_ms,
        };
        if now_ms < due_ms {
            return None;
        }
        self.broadcasts += 1;
        self.broadcast_ms = now_ms;
        Some(audience)
    }

    /// Whether enough daemons have reported a short time ago.
    fn is_heard(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms: u64| now_ms < at_ms + self.timing.silent_ms;
        let heard = self.reports.values().filter(|(_, at_ms)| is_recent(*at_ms)).count();
        heard as f64 >= MIN_REPORTING * self.daemons as f64
    }

    /// Sum of all reports.
    pub fn totals(&self) -> Totals {
        let mut totals = self.earlier.clone();
        for (report, _) in self.reports.values() {
            totals.add(report);
        }
        totals
    }

    /// What led to the present phase, as fields of a log line.
    pub fn describe(&self, now_ms: u64) -> String {
        let totals = self.totals();
        let sum = |value: fn(&RouteCounts) -> u32| totals.routes.values().map(value).sum::<u32>();
        let evidence = self.finding.map_or_else(
            || String::from("-"),
            |finding| {
                let Finding { fault, bad, answers, usual, .. } = finding;
                let route = if finding.route.is_some() { "one" } else { "all" };
                format!("{bad}/{answers} {} on {route} routes, usual {usual:.3}", fault.as_str())
            },
        );
        format!(
            "target={} phase={:?} age_ms={} reports={} requests={} sends={} answers={} failures={} slow={} \
             evidence={evidence:?}",
            self.order.target,
            self.phase,
            self.age_ms(now_ms),
            self.reports.len(),
            sum(|counts| counts.requests),
            sum(|counts| counts.sends),
            sum(|counts| counts.target.answers),
            sum(|counts| counts.target.failures),
            sum(|counts| counts.target.slow),
        )
    }
}
