//! Instances through changes and outages of the platform.

use ingress::{InstanceEntry, Registry};
use std::sync::Arc;

fn entry(id: &str, port: u16) -> InstanceEntry {
    InstanceEntry {
        id: id.into(),
        service: "engines".try_into().unwrap(),
        addr: ([10, 0, 0, 1], port).into(),
        domain: "a".try_into().unwrap(),
        slots: 12,
        is_draining: false,
        started_unix_ms: Some(1),
    }
}

fn open_ids(registry: &Registry) -> Vec<String> {
    let instances = registry.of_service(&"engines".try_into().unwrap());
    let open = instances.iter().filter(|instance| instance.is_open());
    let mut ids: Vec<String> = open.map(|instance| instance.entry.id.to_string()).collect();
    ids.sort();
    ids
}

/// Guards against an instance that leaves and still gets work.
#[test]
fn an_instance_that_is_removed_or_drains_gets_no_work() {
    let mut registry = Registry::default();
    registry.replace(vec![entry("x", 1), entry("y", 2), entry("z", 3)], 0);
    registry.remove("x", 1_000);
    registry.upsert(InstanceEntry { is_draining: true, ..entry("y", 2) });
    assert_eq!(open_ids(&registry), ["z"]);
}

/// Guards against an old holder of an instance that does not learn that it drains.
#[test]
fn a_holder_of_an_instance_sees_that_its_entry_changed() {
    let mut registry = Registry::default();
    registry.upsert(entry("x", 1));
    let held = Arc::clone(&registry.of_service(&"engines".try_into().unwrap())[0]);
    registry.upsert(InstanceEntry { is_draining: true, ..entry("x", 1) });
    assert!(!held.is_open());
}

/// Guards against work for a dead instance whose address another one has.
#[test]
fn a_new_instance_at_an_address_replaces_the_old_one() {
    let mut registry = Registry::default();
    registry.upsert(entry("x", 1));
    registry.upsert(entry("x2", 1));
    assert_eq!(open_ids(&registry), ["x2"]);
}

/// Guards against the loss of all instances because their entries lapsed in an outage, and against keeping one that
/// did not come back.
#[test]
fn entries_that_lapse_in_an_outage_count_for_two_seconds_more() {
    let mut registry = Registry::default();
    registry.replace(vec![entry("x", 1), entry("y", 2)], 0);
    registry.platform_lost(7_000);
    registry.platform_answered(10_000);
    registry.replace(Vec::new(), 10_000);
    assert_eq!(open_ids(&registry), ["x", "y"]);
    registry.upsert(entry("x", 1));
    assert_eq!(registry.expires_ms(), Some(12_000));
    registry.expire(11_999);
    assert_eq!(open_ids(&registry), ["x", "y"]);
    registry.expire(12_000);
    assert_eq!(open_ids(&registry), ["x"]);
}

/// Guards against grace for an instance that leaves long after an outage.
#[test]
fn an_entry_that_is_removed_after_the_grace_is_gone_at_once() {
    let mut registry = Registry::default();
    registry.upsert(entry("x", 1));
    registry.platform_lost(7_000);
    registry.platform_answered(10_000);
    registry.remove("x", 12_500);
    assert!(registry.is_empty());
}

/// Guards against work for an instance that left while the platform cut its watches for a moment.
#[test]
fn a_short_outage_excuses_no_missing_entry() {
    let mut registry = Registry::default();
    registry.replace(vec![entry("x", 1), entry("y", 2)], 0);
    registry.platform_lost(7_000);
    registry.platform_answered(7_300);
    registry.replace(vec![entry("x", 1)], 7_300);
    assert_eq!(open_ids(&registry), ["x"]);
}
