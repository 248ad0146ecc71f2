//! Tests of an order that replaces another one before that is decided, or after its version was found bad.

mod common;

use crate::common::{BOUNDS, order, service};
use affinity::SoftwareVersion;
use rollout::{
    OrderOrigin, Pass, Phase, RolloutOrder, RolloutState, RolloutStatus, Rollouts, RouteKey,
    UsableVersions, VersionChoice,
};

const USABLE: UsableVersions =
    UsableVersions { old: true, suspended: true, target: true, slots_ratio: 1.0 };

fn version(text: &str) -> SoftwareVersion {
    text.try_into().expect("the version is valid")
}

fn apply(rollouts: &mut Rollouts, target: &str, revision: u64) {
    let order = RolloutOrder { target: version(target), ..order(12_000) };
    rollouts.apply_order(order, revision, OrderOrigin::Change, 10 * revision);
}

/// Daemon with an order for `v2` beside instances of `v1`, of which one has got a request.
fn daemon() -> Rollouts {
    let mut rollouts = Rollouts::new(BOUNDS, 1);
    apply(&mut rollouts, "v2", 1);
    assert!(permits(&mut rollouts, "v1", None));
    rollouts
}

fn set_status(rollouts: &mut Rollouts, target: &str, state: RolloutState, revision: u64) {
    let status = RolloutStatus { service: service(), target: version(target), state };
    rollouts.apply_status(&service(), Some(status), revision, 10 * revision);
}

/// Whether a request may be sent to an instance of `to` that is not the target.
fn permits(rollouts: &mut Rollouts, to: &str, required: Option<&str>) -> bool {
    permits_with(rollouts, USABLE, to, required)
}

fn permits_with(
    rollouts: &mut Rollouts,
    usable: UsableVersions,
    to: &str,
    required: Option<&str>,
) -> bool {
    let (service, route, mut pass) = (service(), RouteKey::from("r"), Pass::default());
    let required = required.map(version);
    rollouts.choose(&service, route, &mut pass, required.as_ref(), usable, 100);
    rollouts.permit(&service, route, &mut pass, &version(to), required.as_ref(), 100)
}

/// Guards against a version that gets half of the requests as an old one, because the order for it was replaced before
/// anyone knew whether it is bad.
#[test]
fn the_version_of_a_replaced_order_gets_no_requests() {
    let mut rollouts = daemon();
    apply(&mut rollouts, "v3", 3);
    assert!(permits(&mut rollouts, "v1", None));
    assert!(!permits(&mut rollouts, "v2", None));
    assert!(permits(&mut rollouts, "v2", Some("v2")), "its streams go on");
    apply(&mut rollouts, "v4", 4);
    assert!(!permits(&mut rollouts, "v2", None) && !permits(&mut rollouts, "v3", None));
    apply(&mut rollouts, "v2", 5);
    apply(&mut rollouts, "v3", 6);
    set_status(&mut rollouts, "v3", RolloutState::Completed, 7);
    apply(&mut rollouts, "v5", 8);
    assert!(permits(&mut rollouts, "v3", None), "it was found good");
}

/// Guards against requests at a bad version after the next order.
#[test]
fn a_bad_version_stays_excluded_after_the_next_order() {
    let mut rollouts = daemon();
    set_status(&mut rollouts, "v2", RolloutState::RolledBack, 2);
    apply(&mut rollouts, "v3", 3);
    assert!(!permits(&mut rollouts, "v2", None));
    assert!(!permits(&mut rollouts, "v2", Some("v2")));
    let usable = UsableVersions { old: false, ..USABLE };
    assert!(!permits_with(&mut rollouts, usable, "v2", None), "although no other is left");
}

/// Guards against a service that refuses requests because only a version is left that was not decided on.
#[test]
fn an_undecided_version_serves_if_no_other_does() {
    let mut rollouts = daemon();
    apply(&mut rollouts, "v3", 3);
    let usable = UsableVersions { old: false, ..USABLE };
    assert!(permits_with(&mut rollouts, usable, "v2", None));
}

/// Guards against an operator who orders the old version again, and gets a tenth of the requests there and the rest at the
/// version that is to be left.
#[test]
fn an_order_for_the_version_that_served_before_moves_all_requests_back() {
    let mut rollouts = daemon();
    apply(&mut rollouts, "v1", 3);
    assert_eq!(rollouts.state(&service()), Some((&version("v1"), Phase::Shifting)));
    let usable = UsableVersions { old: false, ..USABLE };
    for _ in 0..100 {
        let (service, route, mut pass) = (service(), RouteKey::from("r"), Pass::default());
        let choice = rollouts.choose(&service, route, &mut pass, None, usable, 100);
        assert!(
            matches!(choice, VersionChoice::Prefer { version, .. } if version.as_str() == "v1")
        );
        assert!(rollouts.permit(&service, route, &mut pass, &version("v1"), None, 100));
    }
}
