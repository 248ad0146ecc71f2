//! Tests of what an order, a status and a message mean for the rollouts of one daemon.

mod common;

use crate::common::{BOUNDS, order, service};
use affinity::SoftwareVersion;
use quickcheck::quickcheck;
use rollout::{
    ListedServices, NewRequest, OrderChange, OrderOrigin, Pass, Phase, RolloutBounds, RolloutState,
    RolloutStatus, Rollouts, RouteKey, UsableVersions, VersionChoice, judges,
};
use std::net::SocketAddr;

const USABLE: UsableVersions =
    UsableVersions { old: true, suspended: false, target: true, slots_ratio: 1.0 };

fn version(text: &str) -> SoftwareVersion {
    text.try_into().expect("the version is valid")
}

fn status(state: RolloutState) -> Option<RolloutStatus> {
    Some(RolloutStatus { service: service(), target: version("v2"), state })
}

fn daemon(lifetime: u64) -> Rollouts {
    let mut rollouts = Rollouts::new(BOUNDS, lifetime);
    assert_eq!(
        rollouts.apply_order(order(12_000), 5, OrderOrigin::Change, 0),
        OrderChange::Started
    );
    rollouts
}

fn phase(rollouts: &Rollouts) -> Option<Phase> {
    rollouts.state(&service()).map(|(_, phase)| phase)
}

/// Sends a request as the choice demands. Returns whether it went to the target version.
fn send(rollouts: &mut Rollouts, required: Option<&SoftwareVersion>, now_ms: u64) -> bool {
    let (service, route, mut pass) = (service(), RouteKey::from("r"), Pass::default());
    let choice = rollouts.choose(&service, route, &mut pass, required, USABLE, now_ms);
    let is_new = matches!(choice, VersionChoice::Prefer { .. }) || required.is_some();
    is_new && rollouts.permit(&service, route, &mut pass, &version("v2"), required, now_ms)
}

/// Request that is sent to an instance of the target version.
fn request(instance: &str) -> NewRequest {
    NewRequest {
        service: service(),
        route: RouteKey::from("r"),
        version: version("v2"),
        instance: instance.into(),
        is_stream: true,
        is_resumed: false,
        is_cold: false,
        target_latency_ms: 4_500,
    }
}

/// Guards against a rollout that loses its evidence because the order is written once more, and against a new order
/// that inherits the verdict of an earlier one.
#[test]
fn the_same_content_continues_a_running_rollout_and_begins_a_new_one_after_its_end() {
    let mut rollouts = daemon(1);
    assert_eq!(rollouts.apply_order(order(12_000), 5, OrderOrigin::Change, 10), OrderChange::None);
    assert_eq!(
        rollouts.apply_order(order(12_000), 6, OrderOrigin::Change, 20),
        OrderChange::Continued
    );
    rollouts.apply_status(&service(), status(RolloutState::RolledBack), 7, 30);
    assert_eq!(phase(&rollouts), Some(Phase::RolledBack));
    assert_eq!(rollouts.apply_order(order(12_000), 6, OrderOrigin::Change, 40), OrderChange::None);
    assert_eq!(
        rollouts.apply_order(order(12_000), 7, OrderOrigin::RestoredList, 45),
        OrderChange::Continued
    );
    assert_eq!(phase(&rollouts), Some(Phase::RolledBack), "a restoration brings no new order");
    assert_eq!(
        rollouts.apply_order(order(12_000), 8, OrderOrigin::Change, 50),
        OrderChange::Started
    );
    assert_eq!(phase(&rollouts), Some(Phase::Evaluating), "the status is of the earlier order");
    assert_eq!(
        rollouts.apply_order(order(15_000), 9, OrderOrigin::Change, 60),
        OrderChange::Started
    );
}

/// Guards against an order that is written once more after its completion and then limits the only version that is left.
#[test]
fn a_repeated_order_stays_completed() {
    let mut rollouts = daemon(1);
    rollouts.apply_status(&service(), status(RolloutState::Completed), 7, 30);
    assert_eq!(
        rollouts.apply_order(order(12_000), 8, OrderOrigin::Change, 50),
        OrderChange::Continued
    );
    assert_eq!(phase(&rollouts), Some(Phase::Completed));
}

/// Guards against a verdict that is taken back by a message that is late or repeated, or by a status.
#[test]
fn a_verdict_is_final() {
    let (mut first, mut second) = (daemon(1), daemon(2));
    let early = second.merge_report(first.tick(&[], None, 100)[0].1.clone(), 100);
    first.apply_status(&service(), status(RolloutState::RolledBack), 7, 200);
    first.merge_reply(&early.expect("the order is known"), 300);
    first.apply_status(&service(), status(RolloutState::Running), 8, 400);
    assert_eq!(phase(&first), Some(Phase::RolledBack));
    let target = version("v2");
    assert!(!send(&mut first, None, 500) && !send(&mut first, Some(&target), 500));
}

/// Guards against a limit that ends because a list is older than its order, and against one that outlives its order.
#[test]
fn an_order_ends_only_once_its_removal_is_confirmed() {
    let mut rollouts = daemon(1);
    rollouts.note_listed(&ListedServices::default(), false);
    rollouts.apply_order(order(12_000), 5, OrderOrigin::Change, 10);
    assert!(rollouts.confirm_list().is_empty(), "the watch after the list brought the order");
    rollouts.note_listed(&ListedServices::default(), false);
    assert_eq!(rollouts.confirm_list(), [service()]);
    assert_eq!(phase(&rollouts), None);
}

/// Guards against judges that ignore the reports of a daemon because these are counted anew: the daemon has seen an order
/// that was removed and written again, and the judge has seen one that was written twice.
#[test]
fn reports_after_an_order_was_removed_and_written_again_are_newer_than_those_before() {
    let (mut reporter, mut judge) = (daemon(1), daemon(2));
    let report = |reporter: &mut Rollouts, now_ms| reporter.tick(&[], None, now_ms)[0].1.clone();
    let sends = (0..100).filter(|_| send(&mut reporter, None, 10)).count();
    for now_ms in (500..5_000).step_by(500) {
        judge.merge_report(report(&mut reporter, now_ms), now_ms);
    }
    assert_eq!(reporter.remove_order(&service(), 8), OrderChange::Removed);
    assert_eq!(
        reporter.apply_order(order(12_000), 9, OrderOrigin::Change, 5_000),
        OrderChange::Started
    );
    assert_eq!(
        judge.apply_order(order(12_000), 9, OrderOrigin::List, 5_000),
        OrderChange::Continued
    );
    for instance in ["i1", "i2"].repeat(10) {
        let number = reporter.begin(request(instance), 5_010);
        reporter.answer(number, true, 5_020);
    }
    judge.merge_report(report(&mut reporter, 5_020), 5_020);
    judge.tick(&[], None, 5_020);
    assert_eq!(phase(&judge), Some(Phase::RolledBack), "20 of 20 answers are errors");
    let text = &judge.take_changes(5_020)[0].1;
    assert!(sends > 0 && text.contains(&format!(" sends={sends} ")), "{sends} before: {text}");
}

/// Guards against a good version that is found bad because judges hear of bad answers at once and of good ones up to half a
/// second later: of the first answers they then know mostly the bad ones.
#[test]
fn good_answers_are_reported_as_soon_as_bad_ones() {
    for has_failed in [true, false] {
        let mut rollouts = daemon(1);
        assert_eq!(rollouts.tick(&[], None, 0).len(), 1);
        let number = rollouts.begin(request("i"), 10);
        rollouts.answer(number, has_failed, 20);
        assert_eq!(rollouts.tick(&[], None, 50).len(), 1, "has_failed={has_failed}");
        assert_eq!(rollouts.tick(&[], None, 100).len(), 0, "nothing is new");
    }
}

/// Guards against a daemon that goes on sending while it cannot be told that the version is bad.
#[test]
fn a_daemon_without_news_of_a_judge_stops_sending_within_the_time_for_a_rollback() {
    let daemons: Vec<SocketAddr> =
        (1..9).map(|port| SocketAddr::from(([10, 0, 0, 1], port))).collect();
    let own = daemons.iter().find(|addr| !judges(&service(), "v2", &daemons).contains(addr));
    let mut rollouts = daemon(1);
    let mut sends = Vec::new();
    for now_ms in (0..10_000).step_by(10) {
        rollouts.tick(&daemons, own.copied(), now_ms);
        if send(&mut rollouts, None, now_ms) {
            sends.push(now_ms);
        }
    }
    let last_ms = sends.last().copied().unwrap_or(0);
    assert!((10..=30).contains(&sends.len()), "{} of 300 requests", sends.len());
    assert!(last_ms < BOUNDS.rollback_ms, "sent after {last_ms} ms");
}

/// Guards against limits that are shorter than the daemons' intervals and then have no effect: whatever `rollback_ms` is, a
/// daemon or a judge that is cut off stops within it, and misses several replies before it does.
#[test]
fn a_daemon_that_is_cut_off_stops_within_any_time_for_a_rollback() {
    let daemons: Vec<SocketAddr> =
        (1..9).map(|port| SocketAddr::from(([10, 0, 0, 1], port))).collect();
    let judges = judges(&service(), "v2", &daemons);
    let other = daemons.iter().copied().find(|addr| !judges.contains(addr));
    for rollback_ms in [500, 700, 1_000, 2_000, 3_500, 5_000, 20_000] {
        for own in [other, judges.first().copied()] {
            let bounds = RolloutBounds { rollback_ms, ..BOUNDS };
            let mut rollouts = Rollouts::new(bounds, 1);
            rollouts.apply_order(order(60_000), 5, OrderOrigin::Change, 0);
            let (mut last_ms, mut reports) = (0, 0);
            for now_ms in (0..rollback_ms + 5_000).step_by(10) {
                let is_tick = now_ms % 50 == 0;
                let due = if is_tick { rollouts.tick(&daemons, own, now_ms) } else { Vec::new() };
                if send(&mut rollouts, None, now_ms) {
                    last_ms = now_ms;
                }
                reports += usize::from(!due.is_empty() && now_ms < rollback_ms * 3 / 5);
            }
            assert!(last_ms > 0 && last_ms < rollback_ms, "{rollback_ms}: sent after {last_ms} ms");
            assert!(reports >= 3, "{rollback_ms}: {reports} reports");
        }
    }
}

/// Guards against requests that reach a version after the time for a rollback because they were held up after the choice of
/// their instance, or because they take up a stream that began there, at a daemon that cannot be told the verdict.
#[test]
fn a_daemon_that_is_cut_off_sends_no_held_request_and_resumes_no_stream() {
    let daemons: Vec<SocketAddr> =
        (1..9).map(|port| SocketAddr::from(([10, 0, 0, 1], port))).collect();
    let own = daemons.iter().find(|addr| !judges(&service(), "v2", &daemons).contains(addr));
    let (service, route, target) = (service(), RouteKey::from("r"), version("v2"));
    let mut rollouts = daemon(1);
    rollouts.tick(&daemons, own.copied(), 10);
    let mut drawn = Vec::new();
    while drawn.len() < 2 {
        let mut pass = Pass::default();
        let choice = rollouts.choose(&service, route, &mut pass, None, USABLE, 10);
        drawn.extend(matches!(choice, VersionChoice::Prefer { .. }).then_some(pass));
    }
    assert!(rollouts.permit(&service, route, &mut drawn[0], &target, None, 20));
    let late_ms = BOUNDS.rollback_ms;
    assert!(!rollouts.permit(&service, route, &mut drawn[1], &target, None, late_ms), "held");
    let (mut pass, required) = (Pass::default(), Some(&target));
    assert!(rollouts.permit(&service, route, &mut pass, &target, required, 20));
    assert!(!rollouts.permit(&service, route, &mut pass, &target, required, late_ms), "resumed");
    let mut alone = daemon(1);
    let usable = UsableVersions { old: false, ..USABLE };
    alone.choose(&service, route, &mut Pass::default(), None, usable, 20_000);
    let mut pass = Pass::default();
    alone.choose(&service, route, &mut pass, None, usable, 20_000);
    assert!(alone.permit(&service, route, &mut pass, &target, None, 20_000), "no other is left");
}

/// Guards against three daemons that write one status at a time, and against none that does if the first is dead.
#[test]
fn the_judges_write_one_after_the_other() {
    let daemons: Vec<SocketAddr> =
        (1..9).map(|port| SocketAddr::from(([10, 0, 0, 1], port))).collect();
    for (rank, judge) in judges(&service(), "v2", &daemons).into_iter().enumerate() {
        let mut rollouts = daemon(1);
        let due = |rollouts: &mut Rollouts, now_ms| {
            rollouts.tick(&daemons, Some(judge), now_ms);
            rollouts.due_write(now_ms)
        };
        assert_eq!(due(&mut rollouts, 10).is_some(), rank == 0);
        let write = due(&mut rollouts, 10 + 1_000 * rank as u64);
        let status = status(RolloutState::Running).expect("there is one");
        let write = write.map(|write| (write.status, write.expected_revision));
        assert_eq!(write, Some((status.clone(), 0)));
        rollouts.apply_status(&service(), Some(status), 6, 3_000);
        assert_eq!(due(&mut rollouts, 3_100), None);
    }
}

quickcheck! {
    /// Guards against a share that depends on how the requests are spread over daemons: with a random start at each, the
    /// sum is the share however few requests each of them has.
    fn the_sum_over_many_daemons_is_the_share(requests: u8) -> bool {
        let requests = 1 + usize::from(requests) % 10;
        let sends: usize = (0..2_000)
            .map(|lifetime| {
                let mut rollouts = daemon(lifetime);
                (0..requests).filter(|_| send(&mut rollouts, None, 10)).count()
            })
            .sum();
        let share = sends as f64 / (2_000 * requests) as f64;
        (share - 0.085).abs() < 0.02
    }

    /// Guards against crashes of upstreams that count as bad answers.
    fn requests_without_an_answer_are_no_evidence(count: u8) -> bool {
        let mut rollouts = daemon(1);
        for _ in 0..count {
            let number = rollouts.begin(request("i"), 0);
            rollouts.end(number);
        }
        let report = &rollouts.tick(&[], None, 9_000)[0].1;
        report.bad.is_empty() && report.routes.iter().all(|(_, counts)| counts.target.answers == 0)
    }
}
