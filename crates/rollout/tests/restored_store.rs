//! Tests of orders after the store was restored from an older copy.

mod common;

use crate::common::{BOUNDS, order, service};
use affinity::SoftwareVersion;
use base::HashSet;
use rollout::{OrderChange, OrderOrigin, Phase, RolloutOrder, Rollouts};

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
    let listed: HashSet<_> = item.iter().map(|_| service()).collect();
    rollouts.note_listed(&listed, is_restored);
    if let Some((target, revision)) = item {
        let origin = if is_restored { OrderOrigin::RestoredList } else { OrderOrigin::List };
        rollouts.apply_order(order_of(target), revision, origin, 20);
    }
    rollouts.confirm_list();
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
    let status = rollout::RolloutStatus {
        service: service(),
        target: "v3".try_into().expect("the version is valid"),
        state: rollout::RolloutState::RolledBack,
    };
    rollouts.apply_status(&service(), Some(status), 21, 20);
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
