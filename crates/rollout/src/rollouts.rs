//! Rollouts of all services, as one daemon knows them.

use crate::{
    answer::Answer,
    audience::Audience,
    bounds::RolloutBounds,
    judges::{judge_rank, judges},
    listed_services::ListedServices,
    meter::Meter,
    new_request::NewRequest,
    open_request::OpenRequest,
    order::RolloutOrder,
    order_change::OrderChange,
    order_log::OrderLog,
    order_origin::OrderOrigin,
    pass::Pass,
    phase::Phase,
    reply::RolloutReply,
    report::RolloutReport,
    rollout::Rollout,
    rollout_start::RolloutStart,
    route_key::RouteKey,
    state::RolloutState,
    status::RolloutStatus,
    status_write::StatusWrite,
    stored_status::StoredStatus,
    suspended_version::SuspendedVersion,
    usable_versions::UsableVersions,
    version_choice::VersionChoice,
};
use affinity::SoftwareVersion;
use base::{HashMap, HashSet, ServiceName};
use std::net::SocketAddr;

/// Time that the second judge waits for the status of the first one; the third waits twice as long.
const WRITER_STEP_MS: u64 = 1_000;

/// Largest number of routes of one service whose usual times are kept.
const MAX_METERS: usize = 64;

/// Rollouts of all services, as one daemon knows them.
#[derive(Debug)]
pub struct Rollouts {
    bounds: RolloutBounds,
    /// Number that tells the daemon's lifetimes apart.
    lifetime: u64,
    rollouts: HashMap<ServiceName, Rollout>,
    /// Last known writes of the orders.
    orders: OrderLog,
    /// Services whose orders were missing in the last list, which may be older than the orders.
    missing: HashSet<ServiceName>,
    statuses: HashMap<ServiceName, StoredStatus>,
    meters: HashMap<ServiceName, HashMap<RouteKey, Meter>>,
    open: HashMap<u64, OpenRequest>,
    next_open: u64,
    next_number: u64,
    /// Number of the last report. It grows over all orders: judges may regard an order as the same that this daemon regards
    /// as a new one.
    report_number: u64,
    /// Services whose phase has changed and has not been logged.
    changed: Vec<ServiceName>,
}

impl Rollouts {
    /// Creates the state of a daemon that knows of no order. `lifetime` is random.
    pub fn new(bounds: RolloutBounds, lifetime: u64) -> Self {
        Self {
            bounds,
            lifetime,
            rollouts: HashMap::default(),
            orders: OrderLog::default(),
            missing: HashSet::default(),
            statuses: HashMap::default(),
            meters: HashMap::default(),
            open: HashMap::default(),
            next_open: 0,
            next_number: 0,
            report_number: 0,
            changed: Vec::new(),
        }
    }

    /// Applies the order of a service that was written at `revision`. A write of the same content while the rollout runs
    /// continues it. In the first list after a restoration of the store, the same content is the same order in any case, and so it is if an order that the restoration lost is written again before its time limit.
    pub fn apply_order(
        &mut self,
        order: RolloutOrder,
        revision: u64,
        origin: OrderOrigin,
        now_ms: u64,
    ) -> OrderChange {
        let service = order.service.clone();
        let is_restored = origin == OrderOrigin::RestoredList;
        self.missing.remove(&service);
        // What a watch reports was written after all that is known.
        let is_in_force =
            origin == OrderOrigin::Change || self.orders.is_in_force(&service, revision);
        let was_void = self.orders.is_void(&service);
        if let Some(rollout) = self.rollouts.get_mut(&service) {
            if rollout.order == order && rollout.revisions.contains(revision) && is_in_force {
                self.orders.record(&service, revision);
                return OrderChange::None;
            }
            // An order that is repeated after its completion asks for what has been done. A new evaluation would limit the
            // only version that is left.
            let goes_on = !rollout.phase.is_final() || rollout.phase == Phase::Completed;
            let is_rewritten = was_void && !rollout.is_over(now_ms);
            let is_same = is_restored || is_in_force && (goes_on || is_rewritten);
            if rollout.order == order && is_same {
                rollout.revisions.add(revision);
                if is_restored {
                    // The copy's status may be that of an earlier order for the same version.
                    let status = self.statuses.get(&service).map_or(0, |stored| stored.revision);
                    rollout.revisions.lower_status_floor(revision.max(status));
                }
                self.orders.record(&service, revision);
                return OrderChange::Continued;
            }
        }
        if !is_in_force {
            if is_restored {
                self.orders.record_void(&service, revision);
            }
            return OrderChange::Outdated;
        }
        self.orders.record(&service, revision);
        self.next_number += 1;
        let meters = self.meters.get(&service);
        let recent = meters.into_iter().flatten().map(|(key, meter)| (*key, meter.recent()));
        let replaced = self.rollouts.get(&service);
        let suspended = replaced.map(|replaced| replaced.suspended_after(&order.target));
        let start = RolloutStart {
            suspended: suspended.unwrap_or_default(),
            is_return: replaced.is_some_and(|replaced| replaced.is_left_for(&order.target)),
            revision,
            is_listed: origin != OrderOrigin::Change,
            number: self.next_number,
            lifetime: self.lifetime,
            bounds: self.bounds,
            before: recent.collect(),
            now_ms,
        };
        self.rollouts.insert(service.clone(), Rollout::new(order, start));
        self.adopt_status(&service, now_ms);
        OrderChange::Started
    }

    /// Removes the order of a service at `revision`, which ends its rollout without a limit.
    pub fn remove_order(&mut self, service: &ServiceName, revision: u64) -> OrderChange {
        self.missing.remove(service);
        self.orders.record_void(service, revision);
        match self.rollouts.remove(service) {
            Some(_) => OrderChange::Removed,
            None => OrderChange::None,
        }
    }

    /// Takes note of the services whose items are in a list of all items, after its statuses and then its orders were applied.
    /// Other statuses are forgotten, and other orders are removed by `confirm_list`. After a restoration of the store
    /// (`is_restored`) these stay, since the copy may be older than an order, and also in later lists, until they are
    /// written or removed.
    pub fn note_listed(&mut self, listed: &ListedServices, is_restored: bool) {
        self.statuses.retain(|service, _| listed.statuses.contains(service));
        let rollouts = &self.rollouts;
        self.orders.trim(|service| rollouts.contains_key(service));
        let known = rollouts.keys().filter(|service| !listed.orders.contains(*service));
        let unlisted: Vec<ServiceName> = known.cloned().collect();
        self.missing.clear();
        if is_restored {
            self.orders.retain(|service| listed.orders.contains(service));
            unlisted.iter().for_each(|service| self.orders.record_void(service, 0));
            for (service, rollout) in &mut self.rollouts {
                if self.orders.is_void(service) {
                    let status = self.statuses.get(service).map_or(0, |stored| stored.revision);
                    rollout.revisions.lower_status_floor(status);
                }
            }
        } else {
            let unlisted = unlisted.into_iter().filter(|service| !self.orders.is_lost(service));
            self.missing = unlisted.collect();
        }
    }

    /// Removes the orders that are missing in the list and were not written since. Returns their services.
    pub fn confirm_list(&mut self) -> Vec<ServiceName> {
        let missing: Vec<ServiceName> = self.missing.drain().collect();
        for service in &missing {
            self.rollouts.remove(service);
            self.orders.record_removal(service);
        }
        missing
    }

    /// Takes note of the status of a service in the store; `None` if there is none that can be read.
    pub fn apply_status(
        &mut self,
        service: &ServiceName,
        status: Option<RolloutStatus>,
        revision: u64,
        now_ms: u64,
    ) {
        self.statuses.insert(service.clone(), StoredStatus { status, revision });
        self.adopt_status(service, now_ms);
    }

    /// Takes note that this daemon has made a write at `revision`. The status is about the order whatever the revision is.
    pub fn note_written(&mut self, write: StatusWrite, revision: u64, now_ms: u64) {
        let service = write.status.service.clone();
        if let Some(rollout) = self.rollouts.get_mut(&service)
            && rollout.number == write.rollout
        {
            rollout.revisions.lower_status_floor(revision.saturating_sub(1));
        }
        self.apply_status(&service, Some(write.status), revision, now_ms);
    }

    /// Takes over the outcome of a rollout that the store holds.
    fn adopt_status(&mut self, service: &ServiceName, now_ms: u64) {
        let Some(rollout) = self.rollouts.get_mut(service) else { return };
        let phase = match stored_state(&self.statuses, rollout) {
            Some(RolloutState::Completed) => Phase::Completed,
            Some(RolloutState::RolledBack) => Phase::RolledBack,
            Some(RolloutState::Running) | None => return,
        };
        if rollout.set_phase(phase, now_ms) {
            self.changed.push(service.clone());
        }
    }

    /// Whether a service has an order.
    pub fn has_order(&self, service: &ServiceName) -> bool {
        self.rollouts.contains_key(service)
    }

    /// Target version and phase of a service's rollout; `None` if it has no order.
    pub fn state(&self, service: &ServiceName) -> Option<(&SoftwareVersion, Phase)> {
        let rollout = self.rollouts.get(service)?;
        Some((&rollout.order.target, rollout.phase))
    }

    /// Versions whose orders were replaced before they were found good, and which get no requests as old ones.
    pub fn suspended(&self, service: &ServiceName) -> &[SuspendedVersion] {
        self.rollouts.get(service).map_or(&[], |rollout| &rollout.others.suspended)
    }

    /// Whether a rollout runs, or has a verdict that is still to be sent.
    pub fn is_active(&self) -> bool {
        self.rollouts.values().any(|rollout| rollout.is_active(is_stored(&self.statuses, rollout)))
    }

    /// Decides at which versions a request may run. `required` is the version at which a stream began.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        route: RouteKey,
        pass: &mut Pass,
        required: Option<&SoftwareVersion>,
        usable: UsableVersions,
        now_ms: u64,
    ) -> VersionChoice {
        match self.rollouts.get_mut(service) {
            Some(rollout) => rollout.choose(pass, route, required, usable, now_ms),
            None => VersionChoice::Any,
        }
    }

    /// Whether a request may be sent to an instance of `version` now. Counts the send.
    pub fn permit(
        &mut self,
        service: &ServiceName,
        route: RouteKey,
        pass: &mut Pass,
        version: &SoftwareVersion,
        required: Option<&SoftwareVersion>,
        now_ms: u64,
    ) -> bool {
        let rollout = self.rollouts.get_mut(service);
        rollout.is_none_or(|rollout| rollout.permit(pass, route, version, required, now_ms))
    }

    /// Takes note of a request that is sent to an instance. Returns its number, which `end` must get.
    pub fn begin(&mut self, request: NewRequest, now_ms: u64) -> u64 {
        self.next_open += 1;
        self.open.insert(self.next_open, OpenRequest::new(request, now_ms));
        self.next_open
    }

    /// Takes note of the complete answer to a call, or of the failure of a request.
    pub fn answer(&mut self, number: u64, has_failed: bool, now_ms: u64) {
        let Some(mut open) = self.open.remove(&number) else { return };
        if !open.is_counted && has_failed {
            self.count(&mut open, Answer::Failed, now_ms);
        } else if !open.is_counted {
            self.count_timed(&mut open, now_ms);
        }
        self.open.insert(number, open);
    }

    /// Takes note of an event of a stream.
    pub fn event(&mut self, number: u64, now_ms: u64) {
        let Some(mut open) = self.open.remove(&number) else { return };
        open.events += 1;
        if open.request.is_cold {
            // Neither its gaps are compared nor do they change what is usual.
        } else if open.is_counted {
            let is_usual = self.is_usual(&open.request);
            let is_long = self.meter(&open.request).has_long_gaps(&open, now_ms, is_usual);
            if is_long && !open.is_bad {
                self.count(&mut open, Answer::BecameSlow, now_ms);
            }
        } else {
            open.first_event_ms = Some(now_ms);
            self.count_timed(&mut open, now_ms);
        }
        self.open.insert(number, open);
    }

    /// Forgets a request that has ended, with or without an answer.
    pub fn end(&mut self, number: u64) {
        self.open.remove(&number);
    }

    fn count_timed(&mut self, open: &mut OpenRequest, now_ms: u64) {
        let is_usual = self.is_usual(&open.request);
        let took_ms = now_ms.saturating_sub(open.started_ms);
        let is_slow = self.meter(&open.request).is_slow(open, took_ms, is_usual);
        let answer = if is_slow { Answer::Slow } else { Answer::Good };
        self.count(open, answer, now_ms);
    }

    fn count(&mut self, open: &mut OpenRequest, answer: Answer, now_ms: u64) {
        open.is_counted = true;
        open.is_bad |= answer.is_bad();
        match self.rollouts.get_mut(&open.request.service) {
            Some(rollout) if !rollout.phase.is_final() => rollout.count(&open.request, answer),
            _ => self.meter(&open.request).count(answer, now_ms),
        }
    }

    /// Whether the version of a request shows what is usual for its service.
    fn is_usual(&self, request: &NewRequest) -> bool {
        let rollout = self.rollouts.get(&request.service);
        rollout.is_none_or(|rollout| {
            rollout.phase == Phase::Completed || rollout.order.target != request.version
        })
    }

    fn meter(&mut self, request: &NewRequest) -> &mut Meter {
        let meters = self.meters.entry(request.service.clone()).or_default();
        let key = match meters.contains_key(&request.route) || meters.len() < MAX_METERS {
            true => request.route,
            false => meters.keys().copied().min().unwrap_or(request.route),
        };
        meters.entry(key).or_default()
    }

    /// Judges all rollouts. `daemons` are the listed ones, and `own` is the address of this one. Returns the reports that
    /// are due, with the judges that get them.
    pub fn tick(
        &mut self,
        daemons: &[SocketAddr],
        own: Option<SocketAddr>,
        now_ms: u64,
    ) -> Vec<(Vec<SocketAddr>, RolloutReport)> {
        let mut due = Vec::new();
        let services: Vec<ServiceName> = self.rollouts.keys().cloned().collect();
        for service in services {
            let (overdue, old_running) = self.own_report(&service, now_ms);
            let Some(rollout) = self.rollouts.get_mut(&service) else { continue };
            let judges = judges(&service, rollout.order.target.as_str(), daemons);
            let rank = judge_rank(&judges, own);
            if rollout.is_reporting() {
                self.report_number += 1;
                let report = rollout.report(self.report_number, &overdue, old_running, now_ms);
                if rollout.schedule.is_due(now_ms) {
                    rollout.schedule.mark_sent(now_ms);
                    let others = judges.into_iter().filter(|addr| Some(*addr) != own).collect();
                    due.push((others, report.clone()));
                }
                rollout.merge_report(report, now_ms);
            }
            if rollout.judge(daemons.len(), rank, now_ms) {
                self.changed.push(service);
            }
        }
        due
    }

    /// Requests of a service that are slow already and have no answer, and the number of those at old versions.
    fn own_report(&self, service: &ServiceName, now_ms: u64) -> (Vec<NewRequest>, u32) {
        let rollout = self.rollouts.get(service);
        let meters = self.meters.get(service);
        let (mut overdue, mut old_running) = (Vec::new(), 0);
        for open in self.open.values().filter(|open| open.request.service == *service) {
            let is_old =
                rollout.is_some_and(|rollout| rollout.order.target != open.request.version);
            old_running += u32::from(is_old);
            if open.is_counted || open.request.is_resumed {
                continue;
            }
            let slow_ms = meters
                .and_then(|meters| meters.get(&open.request.route))
                .map_or(open.request.target_latency_ms as f64, |meter| meter.slow_ms(open));
            if now_ms.saturating_sub(open.started_ms) as f64 >= slow_ms {
                overdue.push(open.request.clone());
            }
        }
        (overdue, old_running)
    }

    /// Keeps the report of another daemon. Returns the reply; `None` if this daemon does not know the order.
    pub fn merge_report(&mut self, report: RolloutReport, now_ms: u64) -> Option<RolloutReply> {
        let rollout = self.rollouts.get_mut(&report.service)?;
        rollout.merge_report(report, now_ms).then(|| rollout.reply(now_ms))
    }

    /// Takes over what a judge knows.
    pub fn merge_reply(&mut self, reply: &RolloutReply, now_ms: u64) {
        let Some(rollout) = self.rollouts.get_mut(&reply.service) else { return };
        if rollout.merge_reply(reply, now_ms) {
            self.changed.push(reply.service.clone());
        }
    }

    /// Verdicts that are due to be sent, with the daemons that get them. A judge tells all daemons, and these tell the judges
    /// until the store holds the status, since judges that were restarted know nothing of the verdict.
    pub fn take_verdicts(
        &mut self,
        daemons: &[SocketAddr],
        own: Option<SocketAddr>,
        now_ms: u64,
    ) -> Vec<(Vec<SocketAddr>, RolloutReply)> {
        let statuses = &self.statuses;
        let due = self.rollouts.values_mut().filter_map(|rollout| {
            let receivers = match rollout.take_verdict(is_stored(statuses, rollout), now_ms)? {
                Audience::All => daemons.to_vec(),
                Audience::Judges => {
                    judges(&rollout.order.service, rollout.order.target.as_str(), daemons)
                }
            };
            let others = receivers.into_iter().filter(|addr| Some(*addr) != own).collect();
            Some((others, rollout.reply(now_ms)))
        });
        due.collect()
    }

    /// Write of a status that is due at this daemon; `None` if none is.
    pub fn due_write(&mut self, now_ms: u64) -> Option<StatusWrite> {
        let statuses = &self.statuses;
        self.rollouts.values_mut().find_map(|rollout| {
            let (state, since_ms) = rollout.wanted(now_ms)?;
            let stored = stored_state(statuses, rollout);
            let is_written =
                stored.is_some_and(|stored| stored == state || stored != RolloutState::Running);
            let delay_ms = rollout.rank.unwrap_or(0) as u64 * WRITER_STEP_MS;
            if is_written || now_ms < since_ms + delay_ms {
                return None;
            }
            let RolloutOrder { service, target, .. } = rollout.order.clone();
            let expected_revision = statuses.get(&service).map_or(0, |stored| stored.revision);
            let status = RolloutStatus { service, target, state };
            Some(StatusWrite { status, expected_revision, rollout: rollout.number })
        })
    }

    /// Services whose phase has changed since the last call, with what a log line tells of them.
    pub fn take_changes(&mut self, now_ms: u64) -> Vec<(ServiceName, String)> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .into_iter()
            .filter_map(|service| {
                let text = self.rollouts.get(&service)?.describe(now_ms);
                Some((service, text))
            })
            .collect()
    }
}

/// State of a rollout that the store holds; `None` if its status is about another order.
fn stored_state(
    statuses: &HashMap<ServiceName, StoredStatus>,
    rollout: &Rollout,
) -> Option<RolloutState> {
    let stored = statuses.get(&rollout.order.service)?;
    let status = stored.status.as_ref()?;
    let is_same =
        status.target == rollout.order.target && rollout.revisions.precede_status(stored.revision);
    is_same.then_some(status.state)
}

/// Whether the store holds the outcome of a rollout.
fn is_stored(statuses: &HashMap<ServiceName, StoredStatus>, rollout: &Rollout) -> bool {
    stored_state(statuses, rollout).is_some_and(|state| state != RolloutState::Running)
}
