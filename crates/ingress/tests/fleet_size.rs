//! Number of daemons that share the fleet's bounds.

use ingress::FleetSize;

/// Guards against a share of the slack that is too large because entries of daemons lapsed while the platform was away,
/// or because a daemon does not know the fleet yet.
#[test]
fn the_fleet_is_not_taken_for_smaller_than_it_is() {
    let mut size = FleetSize::default();
    assert_eq!(size.get(0), 370);
    size.set(59, 1_000);
    assert_eq!(size.get(30_000), 59);
    size.set(3, 31_000);
    assert_eq!(size.get(32_000), 59);
    assert_eq!(size.get(60_000), 3);
    size.set(59, 61_000);
    assert_eq!(size.get(61_000), 59);
}
