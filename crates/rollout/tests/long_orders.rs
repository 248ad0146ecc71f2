//! Tests of orders that last longer than a minute.

mod common;

use crate::common::{BOUNDS, order, service};
use affinity::SoftwareVersion;
use rollout::{
    Counts, InstanceSet, OrderOrigin, Phase, RolloutReport, Rollouts, RouteCounts, RouteKey,
};

const DURATION_MS: u64 = 200_000;

/// Answers of a version each second: all of them, and the failed ones.
type Answers = fn(second: u64) -> (u32, u32);

/// Lets a judge hear of the answers of the target version up to `end_s`. Returns the phase at that time.
fn phase_at(end_s: u64, answers: Answers) -> Phase {
    let mut judge = Rollouts::new(BOUNDS, 1);
    judge.apply_order(order(DURATION_MS), 5, OrderOrigin::Change, 0);
    let (mut target, mut old) = (Counts::default(), Counts::default());
    for second in 1..=end_s {
        let (all, failures) = answers(second);
        target.add(&Counts { answers: all, failures, slow: 0 });
        old.add(&Counts { answers: 100, failures: 0, slow: 0 });
        let counts = RouteCounts {
            requests: old.answers + target.answers,
            sends: target.answers,
            target,
            old,
            ..RouteCounts::default()
        };
        let report = RolloutReport {
            service: service(),
            target: SoftwareVersion::try_from("v2").expect("the version is valid"),
            revisions: [5, 5],
            lifetime: 2,
            number: second,
            age_ms: second * 1_000,
            old_running: 0,
            used: InstanceSet::default(),
            bad: InstanceSet::default(),
            routes: vec![(RouteKey::from("r"), counts)],
        };
        judge.merge_report(report, second * 1_000);
        judge.tick(&[], None, second * 1_000);
        judge.tick(&[], None, second * 1_000 + 500);
    }
    judge.state(&service()).expect("the order is known").1
}

/// Guards against a version that fails one answer in five since the first seconds of a long order, and is found good by
/// the answers before that.
#[test]
fn good_answers_of_the_first_seconds_do_not_outweigh_the_later_ones() {
    let became_bad: Answers = |second| match second {
        ..15 => (40, 0),
        _ => (1, u32::from(second.is_multiple_of(5))),
    };
    assert_eq!(phase_at(110, became_bad), Phase::Evaluating);
}

/// Guards against a long order without a recent period, which would never be found good.
#[test]
fn a_good_version_is_found_good_at_half_of_a_long_order() {
    assert_eq!(phase_at(99, |_| (10, 0)), Phase::Evaluating);
    assert_eq!(phase_at(101, |_| (10, 0)), Phase::Shifting);
}

/// Guards against a bad version that was found good by a few answers without a fault, and is completed although those after
/// that show otherwise.
#[test]
fn a_version_that_fails_during_the_shift_is_rolled_back_by_a_few_answers() {
    let failing: Answers = |second| match second {
        ..101 => (u32::from(second.is_multiple_of(5)), 0),
        _ => (1, 1),
    };
    assert_eq!(phase_at(100, failing), Phase::Shifting);
    assert_eq!(phase_at(103, failing), Phase::RolledBack);
    let one_error: Answers = |second| match second {
        ..101 => (2, 0),
        101 => (1, 1),
        _ => (2, 0),
    };
    assert_eq!(phase_at(110, one_error), Phase::Shifting, "an ordinary error");
}
