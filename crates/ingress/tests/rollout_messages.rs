//! Tests of the size of the messages that daemons exchange during a rollout.

use ingress::PeerMessage;
use rollout::{
    Counts, InstanceSet, OrderOrigin, RolloutBounds, RolloutOrder, RolloutReport, Rollouts,
    RouteCounts, RouteKey,
};

/// Largest size of a datagram; the rest of a longer one is cut off when it is received.
const DATAGRAM_BYTES: usize = 1_400;

const BOUNDS: RolloutBounds =
    RolloutBounds { exposure_share: 0.1, exposure_slack: 50.0, rollback_ms: 5_000 };

fn order() -> RolloutOrder {
    RolloutOrder {
        service: "s".repeat(64).try_into().expect("the name is valid"),
        target: "v".repeat(128).try_into().expect("the version is valid"),
        duration_ms: 60_000,
    }
}

/// Report of one daemon on 16 routes of its own.
fn report(daemon: u64) -> RolloutReport {
    let route = |number: u64| RouteKey::from(&*format!("route {}", daemon * 16 + number));
    let large = Counts { answers: u32::MAX / 999, failures: 0, slow: u32::MAX / 9_999 };
    let counts = RouteCounts {
        requests: u32::MAX / 999,
        sends: u32::MAX / 9_999,
        target: large,
        old: large,
        before: large,
    };
    RolloutReport {
        service: order().service,
        target: order().target,
        revisions: [u64::MAX, u64::MAX],
        lifetime: daemon,
        number: 1,
        age_ms: 1_000,
        old_running: 100,
        used: InstanceSet::default(),
        bad: InstanceSet::default(),
        routes: (0..16).map(|number| (route(number), counts)).collect(),
    }
}

/// Guards against a service with so many routes that a judge's reply does not fit into a datagram: then no daemon hears
/// of the judges, of the shares or of the verdict.
#[test]
fn a_reply_fits_into_a_datagram_whatever_the_number_of_routes() {
    let mut judge = Rollouts::new(BOUNDS, 1);
    judge.apply_order(order(), u64::MAX, OrderOrigin::Change, 0);
    for daemon in 2..42 {
        let report = report(daemon);
        let size_bytes = PeerMessage::RolloutReport(report.clone()).encode().len();
        assert!(size_bytes <= DATAGRAM_BYTES, "a report has {size_bytes} bytes");
        judge.merge_report(report, 1_000);
    }
    judge.tick(&[], None, 1_000);
    let reply = judge.merge_report(report(50), 1_010).expect("the order is known");
    assert!(reply.shares.len() > 64, "the shares of the largest routes are told");
    let size_bytes = PeerMessage::RolloutReply(reply).encode().len();
    assert!(size_bytes <= DATAGRAM_BYTES, "a reply has {size_bytes} bytes");
}
