//! Tests of daemons that restart while a rollout runs and know nothing of it but its order.

mod common;

use crate::common::{BOUNDS, order, service};
use rollout::{
    OrderOrigin, Pass, Phase, RolloutState, RolloutStatus, Rollouts, RouteKey, UsableVersions,
    VersionChoice, judges,
};
use std::net::SocketAddr;

/// Time between two steps.
const STEP_MS: u64 = 50;

const USABLE: UsableVersions =
    UsableVersions { old: true, suspended: false, target: true, slots_ratio: 1.0 };

/// Daemons that exchange messages without losses.
struct Fleet {
    addrs: Vec<SocketAddr>,
    daemons: Vec<Rollouts>,
    now_ms: u64,
}

impl Fleet {
    fn new(daemons: u16) -> Self {
        let addrs: Vec<SocketAddr> =
            (0..daemons).map(|i| SocketAddr::from(([10, 0, 0, 1], 1_000 + i))).collect();
        let daemons = (0..u64::from(daemons)).map(|lifetime| Rollouts::new(BOUNDS, lifetime));
        let mut fleet = Self { addrs, daemons: daemons.collect(), now_ms: 0 };
        for daemon in &mut fleet.daemons {
            daemon.apply_order(order(30_000), 5, OrderOrigin::Change, 0);
        }
        fleet
    }

    fn judges(&self) -> Vec<usize> {
        let judges = judges(&service(), "v2", &self.addrs);
        judges.iter().map(|judge| self.position(judge)).collect()
    }

    fn position(&self, addr: &SocketAddr) -> usize {
        self.addrs.iter().position(|other| other == addr).expect("the daemon is listed")
    }

    /// Replaces a daemon by one that reads the order from a list.
    fn restart(&mut self, at: usize) {
        let mut daemon = Rollouts::new(BOUNDS, 1_000 + at as u64);
        daemon.apply_order(order(30_000), 5, OrderOrigin::List, self.now_ms);
        self.daemons[at] = daemon;
    }

    /// Lets all daemons exchange their messages.
    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for at in 0..self.daemons.len() {
            let own = self.addrs[at];
            let due = self.daemons[at].tick(&self.addrs, Some(own), self.now_ms);
            for (judges, report) in due {
                for judge in judges {
                    let to = self.position(&judge);
                    let reply = self.daemons[to].merge_report(report.clone(), self.now_ms);
                    if let Some(reply) = reply {
                        self.daemons[at].merge_reply(&reply, self.now_ms);
                    }
                }
            }
            let verdicts = self.daemons[at].take_verdicts(&self.addrs, Some(own), self.now_ms);
            for (receivers, verdict) in verdicts {
                for receiver in receivers {
                    let to = self.position(&receiver);
                    self.daemons[to].merge_reply(&verdict, self.now_ms);
                }
            }
        }
    }

    fn phase(&self, at: usize) -> Phase {
        self.daemons[at].state(&service()).expect("the order is known").1
    }

    /// Begins a request at a daemon. Returns whether it may be sent to the target version.
    fn sends(&mut self, at: usize) -> bool {
        let (service, route, mut pass) = (service(), RouteKey::from("r"), Pass::default());
        let daemon = &mut self.daemons[at];
        let choice = daemon.choose(&service, route, &mut pass, None, USABLE, self.now_ms);
        let target = "v2".try_into().expect("the version is valid");
        matches!(choice, VersionChoice::Prefer { .. })
            && daemon.permit(&service, route, &mut pass, &target, None, self.now_ms)
    }

    /// Makes the first judge find the version bad.
    fn roll_back(&mut self) {
        let judge = self.judges()[0];
        let state = RolloutState::RolledBack;
        let target = "v2".try_into().expect("the version is valid");
        let status = Some(RolloutStatus { service: service(), target, state });
        self.daemons[judge].apply_status(&service(), status, 9, self.now_ms);
        self.step();
        self.step();
    }
}

/// Guards against a bad version that gets requests again, and no status, because the judges were restarted before the
/// status was stored, and the other daemons regard the order as decided and report nothing.
#[test]
fn restarted_judges_learn_of_the_verdict_from_the_other_daemons() {
    let mut fleet = Fleet::new(8);
    fleet.step();
    fleet.roll_back();
    for at in 0..8 {
        assert_eq!(fleet.phase(at), Phase::RolledBack);
    }
    for judge in fleet.judges() {
        fleet.restart(judge);
    }
    for _ in 0..20 {
        fleet.step();
    }
    let first = fleet.judges()[0];
    for judge in fleet.judges() {
        assert_eq!(fleet.phase(judge), Phase::RolledBack);
    }
    let write = fleet.daemons[first].due_write(fleet.now_ms).expect("a status is due");
    assert_eq!(write.status.state, RolloutState::RolledBack);
}

/// Guards against requests at a version that was found bad before the daemon's start: with the order in a list it cannot
/// know how old the order is, until it has heard of a judge.
#[test]
fn a_daemon_that_finds_an_order_in_a_list_sends_nothing_before_it_hears_a_judge() {
    let mut fleet = Fleet::new(8);
    for _ in 0..20 {
        fleet.step();
    }
    let judge = fleet.judges()[0];
    let other = (0..8).find(|at| !fleet.judges().contains(at)).expect("three are judges");
    fleet.restart(judge);
    fleet.restart(other);
    let sends = |fleet: &mut Fleet, at| (0..100).filter(|_| fleet.sends(at)).count();
    assert_eq!(sends(&mut fleet, judge), 0);
    assert_eq!(sends(&mut fleet, other), 0);
    fleet.step();
    fleet.step();
    assert!(sends(&mut fleet, other) > 0, "a judge has replied");
    for _ in 0..20 {
        fleet.step();
    }
    assert!(sends(&mut fleet, judge) > 0, "the other daemons have reported");
}
