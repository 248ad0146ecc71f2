//! One rollout, as one daemon knows it.

use crate::{
    allocation::{own_share, shift_share},
    answer::Answer,
    audience::Audience,
    bounds::RolloutBounds,
    finding::Finding,
    judge::Judge,
    new_request::NewRequest,
    order::RolloutOrder,
    order_age::OrderAge,
    order_revisions::OrderRevisions,
    other_versions::OtherVersions,
    own_counts::OwnCounts,
    pass::Pass,
    phase::Phase,
    reply::RolloutReply,
    report::RolloutReport,
    report_schedule::ReportSchedule,
    reports::Reports,
    rollout_start::RolloutStart,
    route_counts::RouteCounts,
    route_key::RouteKey,
    sampler::Sampler,
    state::RolloutState,
    suspended_version::SuspendedVersion,
    timing::Timing,
    usable_versions::UsableVersions,
    verdict_messages::VerdictMessages,
    version_choice::VersionChoice,
};
use affinity::SoftwareVersion;

/// Additional evidence, as a natural logarithm, by which a daemon that is no judge stops by itself.
const OWN_EVIDENCE: f64 = 2.3;

/// Slots of the target's instances, as a part of those of the old ones, that suffice for all traffic.
const ENOUGH_SLOTS: f64 = 0.7;

/// Unit of shares in replies.
const SHARE_UNIT: f64 = 10_000.0;

/// One rollout, as one daemon knows it.
#[derive(Debug)]
pub(crate) struct Rollout {
    pub order: RolloutOrder,
    pub revisions: OrderRevisions,
    pub others: OtherVersions,
    /// Number of the rollout at this daemon.
    pub number: u64,
    lifetime: u64,
    bounds: RolloutBounds,
    timing: Timing,
    age: OrderAge,
    /// Whether the order was found in a list, so that it may have run for any time.
    is_listed: bool,
    /// Whether the target version is the one that served before the replaced order. Such an order is not evaluated: the
    /// other version would get nine tenths of the requests in the meantime.
    is_return: bool,
    pub phase: Phase,
    phase_ms: u64,
    /// Position among the judges; `None` if this daemon is none.
    pub rank: Option<usize>,
    sampler: Sampler,
    /// When a judge last advised the shares; `None` before the first time.
    advised_ms: Option<u64>,
    /// Whether another version than the target had usable instances when a request was last decided on.
    has_old: bool,
    /// Largest share that the slots of the target's instances can serve.
    capacity: f64,
    counts: OwnCounts,
    pub schedule: ReportSchedule,
    reports: Reports,
    judge: Judge,
    verdict: VerdictMessages,
    /// State that is to be written to the store, and since when.
    wanted: Option<(RolloutState, u64)>,
    /// Whether this daemon has found the version bad without being a judge, and no judge has confirmed that yet.
    is_own_verdict: bool,
    /// What the last verdict was based on.
    finding: Option<Finding>,
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
        let timing = Timing::new(bounds.rollback_ms);
        let share = if is_return { 1.0 } else { own_share(&bounds) };
        Self {
            revisions: OrderRevisions::new(revision),
            others: OtherVersions::new(suspended),
            number,
            lifetime,
            bounds,
            timing,
            age: OrderAge::new(order.duration_ms, now_ms),
            is_listed,
            is_return,
            phase: if is_return { Phase::Shifting } else { Phase::Evaluating },
            phase_ms: now_ms,
            rank: None,
            sampler: Sampler::new(share, [lifetime, number]),
            advised_ms: None,
            has_old: true,
            capacity: 1.0,
            counts: OwnCounts::new(before),
            schedule: ReportSchedule::new(timing.report_ms),
            reports: Reports::default(),
            judge: Judge::new(order.duration_ms),
            verdict: VerdictMessages::new(timing.report_ms, lifetime),
            wanted: None,
            is_own_verdict: false,
            finding: None,
            order,
        }
    }

    /// Whether the time limit of the order has passed.
    pub fn is_over(&self, now_ms: u64) -> bool {
        self.age.is_over(now_ms)
    }

    fn is_same(&self, target: &SoftwareVersion, revisions: [u64; 2]) -> bool {
        *target == self.order.target && revisions.iter().any(|at| self.revisions.contains(*at))
    }

    /// Whether the target version was found bad, or has not been found good yet.
    fn is_undecided_or_bad(&self) -> bool {
        matches!(self.phase, Phase::Evaluating | Phase::RolledBack)
    }

    /// Versions that are suspended once an order for `target` replaces this one.
    pub fn suspended_after(&self, target: &SoftwareVersion) -> Vec<SuspendedVersion> {
        let is_bad = self.phase == Phase::RolledBack;
        let own = SuspendedVersion { version: self.order.target.clone(), is_bad };
        self.others.suspended_after(self.is_undecided_or_bad().then_some(own), target)
    }

    /// Whether an order for `target` goes back to a version that served before this order.
    pub fn is_left_for(&self, target: &SoftwareVersion) -> bool {
        self.is_undecided_or_bad() && self.others.has_served(target)
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

    fn share(&self, route: RouteKey) -> f64 {
        let share = self.sampler.share(route);
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
        let excluded = self.others.excluded(pass.may_use_suspended).cloned();
        let without = VersionChoice::Without(excluded.chain([target.clone()]).collect());
        self.has_old = usable.old || usable.suspended;
        match self.phase {
            Phase::RolledBack => return without,
            _ if required.is_some_and(|required| self.others.is_bad(required)) => return without,
            _ if required.is_some() => return VersionChoice::Any,
            Phase::Completed => return preferred(false),
            Phase::Evaluating | Phase::Shifting => {}
        }
        let route = self.counts.key_of(route);
        self.capacity = if usable.slots_ratio >= ENOUGH_SLOTS { 1.0 } else { usable.slots_ratio };
        if pass.rollout != self.number {
            let is_new = self.draw(route, usable, now_ms);
            *pass = Pass { rollout: self.number, is_new, is_sent: false, ..*pass };
        }
        if self.is_over(now_ms) && self.phase == Phase::Evaluating {
            if self.has_old {
                return without;
            }
            // The rollout was completed, and this daemon has not been told.
            *pass = Pass { is_new: true, is_sent: false, ..*pass };
            return VersionChoice::Any;
        }
        let is_new = pass.is_new && !pass.is_sent || self.is_full(route);
        match is_new && self.may_send(now_ms) && usable.target {
            true => VersionChoice::Prefer {
                version: target,
                is_concentrated: self.phase == Phase::Evaluating,
            },
            false => without,
        }
    }

    /// Whether requests may be sent to the target version before the rollout has ended, if they are drawn or resumed.
    fn may_send(&self, now_ms: u64) -> bool {
        let is_probably_completed = self.phase == Phase::Shifting || self.is_over(now_ms);
        self.is_return || self.is_informed(now_ms) || is_probably_completed && !self.has_old
    }

    /// Whether this daemon would know by now if the version had been found bad a short time ago.
    fn is_informed(&self, now_ms: u64) -> bool {
        let since_ms = match self.rank {
            Some(_) => self.judge.heard_ms,
            None => self.advised_ms,
        };
        // A daemon that has not seen the order's write sends nothing before it has heard: the version may have been found bad
        // before the daemon's start.
        let seen_ms = (!self.is_listed).then_some(self.age.seen_ms);
        since_ms.max(seen_ms).is_some_and(|at_ms| now_ms < at_ms + self.timing.uninformed_ms)
    }

    /// Counts a request of a caller, and draws whether it goes to the target version.
    fn draw(&mut self, route: RouteKey, usable: UsableVersions, now_ms: u64) -> bool {
        self.counts.route(route).requests += 1;
        if !usable.target {
            return false;
        }
        if self.phase == Phase::Evaluating
            && self.advised_ms.is_none_or(|at_ms| now_ms >= at_ms + self.timing.advice_ms)
        {
            self.sampler.set_share(own_share(&self.bounds));
        }
        let share = self.share(route);
        self.sampler.draw(route, share)
    }

    /// Whether a request may be sent to an instance of `version` now. Counts the send.
    pub fn permit(
        &mut self,
        pass: &mut Pass,
        route: RouteKey,
        version: &SoftwareVersion,
        required: Option<&SoftwareVersion>,
        now_ms: u64,
    ) -> bool {
        if *version != self.order.target {
            return self.others.permit(version, required, pass.may_use_suspended);
        }
        match self.phase {
            Phase::RolledBack => return false,
            Phase::Completed => return true,
            Phase::Evaluating | Phase::Shifting => {}
        }
        let route = self.counts.key_of(route);
        let is_resumed = required == Some(version);
        let is_drawn = pass.rollout == self.number && pass.is_new && !pass.is_sent;
        let is_chosen = is_resumed || is_drawn || self.is_full(route);
        // The request may have been held up since the choice of its instance.
        if !is_chosen || !self.may_send(now_ms) {
            return false;
        }
        pass.is_sent = true;
        self.counts.route(route).sends += 1;
        if is_resumed {
            self.sampler.charge(route);
        }
        true
    }

    /// Counts an answer to a request.
    pub fn count(&mut self, request: &NewRequest, answer: Answer) {
        let is_target = request.version == self.order.target;
        self.counts.count(request, answer, is_target);
        // Good answers of the version under evaluation are as urgent as bad ones. Of the first answers, judges would otherwise
        // know mostly the bad ones, and find a good version bad.
        if is_target && (answer.is_bad() || self.phase == Phase::Evaluating) {
            self.schedule.mark_urgent();
        }
    }

    /// Creates the report of this daemon with the given number. `overdue` are requests without an answer that are slow already.
    pub fn report(
        &self,
        number: u64,
        overdue: &[NewRequest],
        old_running: u32,
        now_ms: u64,
    ) -> RolloutReport {
        let mut counts = self.counts.clone();
        for request in overdue {
            counts.count(request, Answer::Slow, request.version == self.order.target);
        }
        RolloutReport {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            revisions: self.revisions.first_and_last(),
            lifetime: self.lifetime,
            number,
            age_ms: self.age.get(now_ms),
            old_running,
            used: counts.used,
            bad: counts.bad,
            routes: counts.routes.into_iter().collect(),
        }
    }

    /// Keeps the report of a daemon. Returns whether it is about this order.
    pub fn merge_report(&mut self, report: RolloutReport, now_ms: u64) -> bool {
        if !self.is_same(&report.target, report.revisions) {
            return false;
        }
        self.age.learn(report.age_ms, now_ms);
        self.reports.merge(report, now_ms);
        true
    }

    /// State of the rollout for other daemons.
    pub fn reply(&self, now_ms: u64) -> RolloutReply {
        let units = |share: f64| (share * SHARE_UNIT) as u16;
        let plan = &self.sampler.plan;
        RolloutReply {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            revisions: self.revisions.first_and_last(),
            age_ms: self.age.get(now_ms),
            phase: self.phase,
            default_share: units(plan.others),
            shares: plan.routes.iter().map(|(key, share)| (*key, units(*share))).collect(),
        }
    }

    /// Takes over what a judge knows. Returns whether the phase has changed.
    pub fn merge_reply(&mut self, reply: &RolloutReply, now_ms: u64) -> bool {
        if !self.is_same(&reply.target, reply.revisions) {
            return false;
        }
        self.age.learn(reply.age_ms, now_ms);
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
            let plan = &mut self.sampler.plan;
            // While the traffic shifts, judges may be at different steps.
            let lowest = if self.phase == Phase::Shifting { plan.others } else { 0.0 };
            plan.others = share(reply.default_share).max(lowest);
            plan.routes = reply.shares.iter().map(|(key, units)| (*key, share(*units))).collect();
        }
        has_changed
    }

    /// Judges the target version: as a judge by all reports, and else by this daemon's own. Returns whether the phase has
    /// changed.
    pub fn judge(&mut self, daemons: usize, rank: Option<usize>, now_ms: u64) -> bool {
        self.rank = rank;
        if self.phase.is_final() {
            return false;
        }
        let totals = self.reports.totals();
        self.judge.hear(self.reports.recent(self.timing.silent_ms, now_ms), daemons, now_ms);
        if self.is_return {
            self.judge.note_old(&totals, true, now_ms);
            return false;
        }
        if rank.is_none() {
            self.finding = totals.finding(std::iter::empty(), OWN_EVIDENCE);
            self.is_own_verdict =
                self.finding.is_some() && self.set_phase(Phase::RolledBack, now_ms);
            return self.is_own_verdict;
        }
        self.finding = self.judge.find_bad(&totals, self.phase, now_ms);
        if self.finding.is_some() {
            return self.set_phase(Phase::RolledBack, now_ms);
        }
        let age_ms = self.age.get(now_ms);
        if self.phase == Phase::Evaluating {
            let part = self.age.part(now_ms);
            self.sampler.plan = self.judge.plan(&self.bounds, &totals, part, now_ms);
            self.advised_ms = Some(now_ms);
            if self.judge.is_good(&totals, age_ms, now_ms) {
                self.set_phase(Phase::Shifting, now_ms);
                self.update_shift(now_ms);
                return true;
            }
            return self.judge.is_undecidable(age_ms) && self.set_phase(Phase::RolledBack, now_ms);
        }
        self.update_shift(now_ms);
        self.judge.note_old(&totals, self.sampler.plan.others >= 1.0, now_ms);
        false
    }

    fn update_shift(&mut self, now_ms: u64) {
        let share = shift_share(now_ms.saturating_sub(self.phase_ms));
        self.sampler.set_share(self.sampler.plan.others.max(share));
    }

    /// State that the store should hold by now and since when; `None` if this daemon is no judge.
    pub fn wanted(&mut self, now_ms: u64) -> Option<(RolloutState, u64)> {
        self.rank?;
        let state = match self.phase {
            Phase::RolledBack => RolloutState::RolledBack,
            Phase::Completed => RolloutState::Completed,
            Phase::Shifting if self.judge.is_moved(self.age.get(now_ms), now_ms) => {
                RolloutState::Completed
            }
            Phase::Evaluating | Phase::Shifting => RolloutState::Running,
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
            Some(_) => self.verdict.has_broadcasts_left().then_some(Audience::All),
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
        self.verdict.take_due(audience, self.phase_ms, now_ms).then_some(audience)
    }

    /// What led to the present phase, as fields of a log line.
    pub fn describe(&self, now_ms: u64) -> String {
        let totals = self.reports.totals();
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
            self.age.get(now_ms),
            self.reports.len(),
            sum(|counts| counts.requests),
            sum(|counts| counts.sends),
            sum(|counts| counts.target.answers),
            sum(|counts| counts.target.failures),
            sum(|counts| counts.target.slow),
        )
    }
}
