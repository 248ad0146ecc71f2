//! Tests of the number of daemons among which the fleet's limits are divided.

use ingress::FleetSize;

/// Guards against a share of the retry budget that is too large, because items of daemons expired during a platform
/// outage or because a daemon has not read the list yet.
#[test]
fn count_decreases_only_after_the_retention_time() {
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
