//! Tests of the limits that upstreams name, beside a model of a fleet that sends as much as each daemon allows itself.

use limit::{FleetShare, UpstreamLimitChange, UpstreamLimits};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Length of the windows in which requests are counted.
const WINDOW_MS: u64 = 4_000;

/// Time after the first answer that names the limit from which the limit holds: the users' `contact_ms`.
const CONTACT_MS: u64 = 3_000;

/// Requests that an upstream may get in one window: one and a half times its limit, and 5 more.
fn allowed(rate_per_s: f64) -> usize {
    (1.5 * WINDOW_MS as f64 / 1_000.0 * rate_per_s + 5.0) as usize
}

/// Fleet of up to 200 daemons, and the limit of one upstream.
#[derive(Clone, Debug)]
struct Fleet {
    daemons: Vec<u64>,
    rate_per_s: f64,
    /// Number of daemons that the others do not know during the first second.
    late: usize,
    /// Time between two requests of callers at each daemon.
    demand_ms: u64,
}

impl Arbitrary for Fleet {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 1 + usize::arbitrary(g) % 200;
        let daemons: Vec<u64> = (0..count).map(|_| u64::arbitrary(g)).collect();
        Self {
            rate_per_s: f64::from(1 + u16::arbitrary(g) % 2_000) / 20.0,
            late: usize::arbitrary(g) % (count / 2 + 1),
            demand_ms: 1 + u64::arbitrary(g) % 300,
            daemons,
        }
    }
}

impl Fleet {
    fn share<'a>(&'a self, own: u64, listed: &'a [u64]) -> FleetShare<'a> {
        FleetShare { own, listed, daemons: listed.len() }
    }
}

/// Guards against shares that exceed the limit together, or that leave a part of it unused.
#[test]
fn shares_of_daemons_with_the_same_list_add_up_to_the_limit() {
    fn holds(fleet: Fleet) -> bool {
        let mut daemons = fleet.daemons.clone();
        daemons.sort_unstable();
        daemons.dedup();
        let shares = daemons
            .iter()
            .map(|&own| fleet.share(own, &daemons).rate_per_s("i-1", fleet.rate_per_s));
        (shares.sum::<f64>() - fleet.rate_per_s).abs() < 0.001 * fleet.rate_per_s
    }
    QuickCheck::new().quickcheck(holds as fn(Fleet) -> bool);
}

/// Guards against more requests than the upstream allows, over drawn fleets, rates and demands, while a part of the
/// daemons is still unknown to the others.
#[test]
fn a_fleet_keeps_the_limit_in_every_window() {
    fn holds(fleet: Fleet) -> bool {
        let mut daemons = fleet.daemons.clone();
        daemons.sort_unstable();
        daemons.dedup();
        let (known, _) = daemons.split_at(daemons.len() - fleet.late.min(daemons.len() - 1));
        let mut limits: Vec<UpstreamLimits> = vec![UpstreamLimits::default(); daemons.len()];
        let mut sent_ms = Vec::new();
        for limit in &mut limits {
            limit.record("i-1", None, Some(fleet.rate_per_s), 0);
        }
        for now_ms in (0..12_000).step_by(fleet.demand_ms as usize) {
            for (number, &own) in daemons.iter().enumerate() {
                let listed = if now_ms < 1_000 && number < known.len() { known } else { &daemons };
                let share = fleet.share(own, listed);
                if limits[number].allows("i-1", None, &share, now_ms) {
                    limits[number].take("i-1", None);
                    sent_ms.push(now_ms);
                }
            }
        }
        let in_window = |start_ms: u64| {
            let is_in = |at_ms: &&u64| **at_ms >= start_ms && **at_ms < start_ms + WINDOW_MS;
            sent_ms.iter().filter(is_in).count()
        };
        (CONTACT_MS..8_000).step_by(100).all(|at_ms| in_window(at_ms) <= allowed(fleet.rate_per_s))
    }
    QuickCheck::new().tests(60).quickcheck(holds as fn(Fleet) -> bool);
}

/// Guards against an upstream that idles although callers are refused: the fleet uses most of the limit.
#[test]
fn a_fleet_with_enough_demand_uses_most_of_the_limit() {
    for (count, rate_per_s) in [(1, 7.0), (3, 7.0), (6, 7.3), (12, 40.0), (195, 7.0), (195, 900.0)]
    {
        let daemons: Vec<u64> = (0..count).collect();
        let mut limits: Vec<UpstreamLimits> = vec![UpstreamLimits::default(); daemons.len()];
        let mut sent = 0;
        for limit in &mut limits {
            limit.record("i-1", None, Some(rate_per_s), 0);
        }
        for now_ms in 0..10_000 {
            for (number, &own) in daemons.iter().enumerate() {
                let share = FleetShare { own, listed: &daemons, daemons: daemons.len() };
                if limits[number].allows("i-1", None, &share, now_ms) {
                    limits[number].take("i-1", None);
                    sent += 1;
                }
            }
        }
        assert!(f64::from(sent) >= 0.9 * rate_per_s * 10.0, "{count} daemons sent {sent}");
    }
}

/// Guards against a burst when the number of daemons falls, as after a loss of contact: shares rise without a step.
#[test]
fn a_larger_share_allows_no_burst() {
    let daemons: Vec<u64> = (0..6).collect();
    let mut limits = UpstreamLimits::default();
    limits.record("i-1", None, Some(12.0), 0);
    let many = FleetShare { own: 1, listed: &daemons, daemons: 12 };
    let few = FleetShare { own: 1, listed: &daemons[..3], daemons: 3 };
    assert_eq!(limits.wait_ms("i-1", None, &many, 20_000), Some(0));
    let sent = (0..10)
        .filter(|_| {
            let is_allowed = limits.allows("i-1", None, &few, 20_000);
            limits.take("i-1", None);
            is_allowed
        })
        .count();
    assert_eq!(sent, 1);
}

/// Guards against a limit that outlasts the answers that name it, or the process that named it.
#[test]
fn a_limit_ends_with_an_answer_without_it_and_with_its_process() {
    let daemons = [1, 2];
    let share = FleetShare { own: 1, listed: &daemons, daemons: 2 };
    let mut limits = UpstreamLimits::default();
    let named = limits.record("i-1", Some(100), Some(2.0), 0);
    assert_eq!(named, Some(UpstreamLimitChange::Named { new_per_s: 2.0 }));
    limits.take("i-1", Some(100));
    assert!(!limits.allows("i-1", Some(100), &share, 10));
    assert!(limits.allows("i-1", Some(200), &share, 10), "another process has no limit");
    assert!(limits.allows("i-2", Some(100), &share, 10), "another upstream has no limit");
    let changed = limits.record("i-1", Some(100), Some(4.0), 20);
    let expected = UpstreamLimitChange::Changed { old_per_s: 2.0, new_per_s: 4.0 };
    assert_eq!(changed, Some(expected));
    let ended = limits.record("i-1", Some(100), None, 30);
    assert_eq!(ended, Some(UpstreamLimitChange::Ended { old_per_s: 4.0 }));
    assert!(limits.allows("i-1", Some(100), &share, 30) && limits.is_empty());
}

/// Guards against a limit that is forgotten while requests are still sent by it, and against one that is remembered for
/// ever for an upstream that is gone.
#[test]
fn a_limit_is_forgotten_ten_minutes_after_its_last_use() {
    let daemons = [1, 2];
    let share = FleetShare { own: 1, listed: &daemons, daemons: 2 };
    let mut limits = UpstreamLimits::default();
    limits.record("i-1", Some(100), Some(0.1), 0);
    limits.take("i-1", Some(100));
    limits.wait_ms("i-1", Some(100), &share, 500_000);
    limits.forget(1_099_999);
    assert!(!limits.is_empty());
    limits.forget(1_100_000);
    assert!(limits.is_empty());
}

/// Guards against an answer of an earlier process that ends or replaces the limit of a later one, and against a memory
/// that grows with the upstreams that name limits.
#[test]
fn each_process_has_its_own_limit_within_a_bounded_memory() {
    let daemons = [1, 2];
    let share = FleetShare { own: 1, listed: &daemons, daemons: 2 };
    let mut limits = UpstreamLimits::default();
    limits.record("i-1", Some(200), Some(2.0), 0);
    limits.take("i-1", Some(200));
    assert_eq!(limits.record("i-1", Some(100), None, 10), None);
    assert!(!limits.allows("i-1", Some(200), &share, 20));
    limits.record("i-1", Some(100), Some(50.0), 30);
    assert!(!limits.allows("i-1", Some(200), &share, 40));
    for number in 0..5_000 {
        let started = Some(1_000 + number);
        limits.record(&format!("i-{number}"), started, Some(2.0), 100 + number);
    }
    let known = (0..5_000).filter(|number| limits.rate_per_s(&format!("i-{number}")).is_some());
    assert!((1..=4_096).contains(&known.count()));
    assert!(limits.rate_per_s("i-4999").is_some(), "the last one is remembered");
}

/// Guards against a limit of zero that no answer could ever end, because none is asked for.
#[test]
fn an_upstream_with_a_limit_of_zero_gets_a_request_now_and_then() {
    let daemons = [1];
    let share = FleetShare { own: 1, listed: &daemons, daemons: 1 };
    let mut limits = UpstreamLimits::default();
    limits.record("i-1", None, Some(0.0), 0);
    limits.take("i-1", None);
    assert!(!limits.allows("i-1", None, &share, 5_000));
    assert!(limits.allows("i-1", None, &share, 10_000));
}

/// Guards against a lent request that the lender sends as well.
#[test]
fn a_lent_request_is_taken_from_the_share_of_the_lender() {
    let daemons = [1];
    let share = FleetShare { own: 1, listed: &daemons, daemons: 1 };
    let mut limits = UpstreamLimits::default();
    limits.record("i-1", None, Some(1.0), 0);
    assert!(limits.lend("i-1", &share, 0));
    assert!(!limits.lend("i-1", &share, 0) && !limits.allows("i-1", None, &share, 0));
    assert!(!limits.lend("i-2", &share, 0), "no limit is known, so none is shared");
}
