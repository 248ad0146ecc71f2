//! Tests of orders after the store was restored from an older copy.

mod common;

use crate::common::{BOUNDS, order, service};
use affinity::SoftwareVersion;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rollout::{
    ListedServices, OrderChange, OrderOrigin, Phase, RolloutOrder, RolloutState, RolloutStatus,
    Rollouts,
};

fn order_of(target: &str) -> RolloutOrder {
    RolloutOrder { target: target.try_into().expect("the version is valid"), ..order(12_000) }
}

/// Daemon that knows an order for `v2`, written at revision 5, and one for `v3` in its place, written at revision 20.
fn daemon() -> Rollouts {
    let mut rollouts = Rollouts::new(BOUNDS, 1);
    list(&mut rollouts, Some(("v2", 5)), false);
    assert_eq!(
        rollouts.apply_order(order_of("v3"), 20, OrderOrigin::Change, 10),
        OrderChange::Started
    );
    rollouts
}

/// Applies a list of all items with one order or none, and the answer to the watch after it.
fn list(rollouts: &mut Rollouts, item: Option<(&str, u64)>, is_restored: bool) {
    list_with_status(rollouts, item, None, is_restored);
}

/// Applies a list of all items with one order and one status or none, and the answer to the watch after it.
fn list_with_status(
    rollouts: &mut Rollouts,
    item: Option<(&str, u64)>,
    status: Option<(RolloutStatus, u64)>,
    is_restored: bool,
) {
    let mut listed = ListedServices::default();
    if let Some((status, revision)) = status {
        listed.statuses.insert(service());
        rollouts.apply_status(&service(), Some(status), revision, 20);
    }
    if let Some((target, revision)) = item {
        listed.orders.insert(service());
        let origin = if is_restored { OrderOrigin::RestoredList } else { OrderOrigin::List };
        rollouts.apply_order(order_of(target), revision, origin, 20);
    }
    rollouts.note_listed(&listed, is_restored);
    rollouts.confirm_list();
}

fn status(target: &str, state: RolloutState) -> Option<RolloutStatus> {
    let target = target.try_into().expect("the version is valid");
    Some(RolloutStatus { service: service(), target, state })
}

fn target(rollouts: &Rollouts) -> Option<&str> {
    rollouts.state(&service()).map(|(target, _)| SoftwareVersion::as_str(target))
}

/// Guards against a version that is limited or rolled back by an order that was replaced, while the one that the operator
/// wrote last gets requests without a limit.
#[test]
fn an_older_order_of_the_copy_does_not_replace_a_newer_one() {
    let mut rollouts = daemon();
    list(&mut rollouts, Some(("v2", 5)), true);
    assert_eq!(target(&rollouts), Some("v3"));
    list(&mut rollouts, Some(("v2", 5)), false);
    assert_eq!(target(&rollouts), Some("v3"), "the list after the next outage");
    list(&mut rollouts, Some(("v2", 5)), true);
    assert_eq!(target(&rollouts), Some("v3"), "another restoration");
    assert_eq!(
        rollouts.apply_order(order_of("v4"), 9, OrderOrigin::Change, 30),
        OrderChange::Started
    );
    list(&mut rollouts, Some(("v4", 9)), false);
    assert_eq!(target(&rollouts), Some("v4"), "the operator has written an order since");
}

/// Guards against a version that gets requests without a limit because the copy is older than its order.
#[test]
fn an_order_that_the_copy_lacks_stays_until_it_is_written_or_removed() {
    let mut rollouts = daemon();
    list(&mut rollouts, None, true);
    list(&mut rollouts, None, false);
    assert_eq!(target(&rollouts), Some("v3"), "the list after the next outage");
    assert_eq!(
        rollouts.apply_order(order_of("v4"), 9, OrderOrigin::Change, 30),
        OrderChange::Started
    );
    list(&mut rollouts, None, false);
    assert_eq!(target(&rollouts), None, "the order that was written since was removed");
}

/// Guards against an order that was removed and comes back with the copy, which would limit the only version that is left.
#[test]
fn a_removed_order_does_not_come_back_with_the_copy() {
    let mut rollouts = daemon();
    list(&mut rollouts, None, false);
    assert_eq!(target(&rollouts), None);
    list(&mut rollouts, Some(("v3", 20)), true);
    assert_eq!(target(&rollouts), None, "removed in the list before");
    list(&mut rollouts, Some(("v2", 5)), true);
    assert_eq!(target(&rollouts), None, "replaced before that");
    assert_eq!(
        rollouts.apply_order(order_of("v3"), 12, OrderOrigin::Change, 30),
        OrderChange::Started
    );
}

/// Guards against a second trial of a bad version, with its exposure, when the operator writes the lost order again.
#[test]
fn an_order_that_is_written_again_after_a_restoration_keeps_its_verdict() {
    let mut rollouts = daemon();
    rollouts.apply_status(&service(), status("v3", RolloutState::RolledBack), 21, 20);
    list(&mut rollouts, None, true);
    assert_eq!(
        rollouts.apply_order(order_of("v3"), 12, OrderOrigin::Change, 5_000),
        OrderChange::Continued
    );
    assert_eq!(rollouts.state(&service()).map(|(_, phase)| phase), Some(Phase::RolledBack));
    assert_eq!(
        rollouts.apply_order(order_of("v3"), 13, OrderOrigin::Change, 6_000),
        OrderChange::Started
    );
}

/// Guards against an order that a stale list, of a replica that is behind, puts in the place of a newer one.
#[test]
fn an_older_order_of_a_stale_list_does_not_replace_a_newer_one() {
    let mut rollouts = daemon();
    list(&mut rollouts, Some(("v2", 5)), false);
    assert_eq!(target(&rollouts), Some("v3"));
}

/// Guards against a judge that writes a status again and again, as fast as the store replies, because the revisions of the
/// restored store are lower than that of the order.
#[test]
fn a_judge_writes_a_status_once_after_a_restoration() {
    for copied in [None, Some(("v2", 5))] {
        let mut judge = daemon();
        judge.tick(&[], None, 30);
        let write = judge.due_write(30).expect("a status is due");
        judge.note_written(write, 21, 30);
        assert_eq!(judge.due_write(40), None);
        let running = status("v2", RolloutState::Running);
        list_with_status(&mut judge, copied, running.zip(Some(6)), true);
        let write = judge.due_write(50).expect("the status was lost");
        assert_eq!(write.expected_revision, 6);
        judge.note_written(write, 9, 50);
        assert_eq!(judge.due_write(60), None, "it was written a moment ago");
    }
}

/// Guards against the same before the judge has read the list after the restoration.
#[test]
fn a_judge_writes_a_status_once_before_it_knows_of_a_restoration() {
    let mut judge = daemon();
    judge.tick(&[], None, 30);
    judge.apply_status(&service(), status("v2", RolloutState::Running), 6, 50);
    let write = judge.due_write(50).expect("a status is due");
    judge.note_written(write, 9, 50);
    assert_eq!(judge.due_write(60), None, "it was written a moment ago");
}

/// Guards against a daemon that does not recognize the status of its order after a restoration, and tells the judges the
/// verdict without an end.
#[test]
fn a_daemon_recognizes_the_status_that_a_judge_writes_after_a_restoration() {
    let mut rollouts = daemon();
    rollouts.apply_status(&service(), status("v3", RolloutState::RolledBack), 21, 30);
    list(&mut rollouts, None, true);
    assert!(rollouts.is_active(), "the status was lost");
    rollouts.apply_status(&service(), status("v3", RolloutState::RolledBack), 9, 50);
    assert!(!rollouts.is_active());
}

/// Guards against a status of an earlier order for the same version that comes back with the copy: the later order has
/// fresh evidence.
#[test]
fn a_status_of_an_earlier_order_does_not_come_back_with_the_copy() {
    let mut rollouts = Rollouts::new(BOUNDS, 1);
    list(&mut rollouts, Some(("v2", 5)), false);
    rollouts.apply_status(&service(), status("v2", RolloutState::RolledBack), 9, 10);
    let change = rollouts.apply_order(order_of("v2"), 20, OrderOrigin::Change, 20);
    assert_eq!(change, OrderChange::Started);
    let rolled_back = status("v2", RolloutState::RolledBack);
    list_with_status(&mut rollouts, Some(("v2", 5)), rolled_back.zip(Some(9)), true);
    assert_eq!(rollouts.state(&service()).map(|(_, phase)| phase), Some(Phase::Evaluating));
    rollouts.apply_status(&service(), status("v2", RolloutState::RolledBack), 10, 40);
    assert_eq!(rollouts.state(&service()).map(|(_, phase)| phase), Some(Phase::RolledBack));
}

/// What happens to the order of a service, or to the store.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write(u8),
    Remove,
    SaveCopy,
    RestoreCopy,
    Outage,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 7 {
            0 | 1 => Self::Write(u8::arbitrary(g) % 3),
            2 => Self::Remove,
            3 => Self::SaveCopy,
            4 => Self::RestoreCopy,
            _ => Self::Outage,
        }
    }
}

/// Guards against an order in force that is not the last one that the operator wrote, or that was removed, in any order of
/// writes, outages and restorations.
#[test]
fn the_last_order_of_the_operator_is_in_force() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut rollouts = Rollouts::new(BOUNDS, 1);
        // Content and revision of the store's item, its last revision, and the copy of both.
        let (mut item, mut revision): (Option<(u8, u64)>, u64) = (None, 0);
        let mut copy = (item, revision);
        let mut expected: Option<u8> = None;
        steps.into_iter().all(|step| {
            match step {
                Step::Write(content) => {
                    revision += 1;
                    item = Some((content, revision));
                    expected = Some(content);
                    let order = order_of(&format!("v{content}"));
                    rollouts.apply_order(order, revision, OrderOrigin::Change, 20);
                }
                Step::Remove if item.is_some() => {
                    revision += 1;
                    (item, expected) = (None, None);
                    rollouts.remove_order(&service(), revision);
                }
                Step::Remove => {}
                Step::SaveCopy => copy = (item, revision),
                Step::RestoreCopy | Step::Outage => {
                    let is_restored = matches!(step, Step::RestoreCopy);
                    if is_restored {
                        (item, revision) = copy;
                    }
                    let listed = item.map(|(content, revision)| (format!("v{content}"), revision));
                    let listed = listed.as_ref().map(|(target, at)| (target.as_str(), *at));
                    list(&mut rollouts, listed, is_restored);
                }
            }
            target(&rollouts) == expected.map(|content| format!("v{content}")).as_deref()
        })
    }
    let rng = Gen::from_size_and_seed(60, 20_261_206);
    QuickCheck::new().rng(rng).tests(3_000).quickcheck(holds as fn(Vec<Step>) -> bool);
}
