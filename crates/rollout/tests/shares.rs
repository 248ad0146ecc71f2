//! Tests of the shares that judges advise.

mod common;

use crate::common::{BOUNDS, order, service};
use rollout::{InstanceSet, OrderOrigin, RolloutReport, Rollouts, RouteCounts, RouteKey};

/// Guards against a burst of requests at the few instances of a version that become usable late in the order: they would be
/// slow under it, and a good version would look bad.
#[test]
fn what_was_not_sent_earlier_is_not_sent_at_once() {
    let mut judge = Rollouts::new(BOUNDS, 1);
    judge.apply_order(order(12_000), 5, OrderOrigin::Change, 0);
    let mut largest = 0;
    for step in 1..=100_u32 {
        let now_ms = u64::from(step) * 100;
        let counts = RouteCounts { requests: step * 100 / 22, ..RouteCounts::default() };
        let report = RolloutReport {
            service: service(),
            target: "v2".try_into().expect("the version is valid"),
            revisions: [5, 5],
            lifetime: 2,
            number: u64::from(step),
            age_ms: now_ms,
            old_running: 0,
            used: InstanceSet::default(),
            bad: InstanceSet::default(),
            routes: vec![(RouteKey::from("r"), counts)],
        };
        judge.tick(&[], None, now_ms);
        let reply = judge.merge_report(report, now_ms).expect("the order is known");
        largest = largest.max(reply.shares.iter().map(|(_, share)| *share).max().unwrap_or(0));
    }
    assert!((2_000..=3_000).contains(&largest), "{largest} of 10,000");
}
