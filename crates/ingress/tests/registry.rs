//! Tests of the registry of instances: changed entries and platform outages.

use ingress::{InstanceEntry, Registry};
use std::sync::Arc;

fn entry(id: &str, port: u16) -> InstanceEntry {
    InstanceEntry {
        id: id.into(),
        service: "engines".try_into().unwrap(),
        addr: ([10, 0, 0, 1], port).into(),
        domain: "a".try_into().unwrap(),
        software_version: "v1".try_into().unwrap(),
        slots: 12,
        is_draining: false,
        started_unix_ms: Some(1),
    }
}

/// Returns the identifiers of the instances that accept requests, sorted.
fn accepting_ids(registry: &Registry) -> Vec<String> {
    let instances = registry.of_service(&"engines".try_into().unwrap());
    let accepting = instances.iter().filter(|instance| instance.accepts_requests());
    let mut ids: Vec<String> = accepting.map(|instance| instance.entry.id.to_string()).collect();
    ids.sort();
    ids
}

/// Guards against new requests to an instance that was removed or is draining.
#[test]
fn removed_or_draining_instance_accepts_no_requests() {
    let mut registry = Registry::default();
    registry.replace(vec![entry("x", 1), entry("y", 2), entry("z", 3)], 0);
    registry.remove("x", 1_000);
    registry.upsert(InstanceEntry { is_draining: true, ..entry("y", 2) });
    assert_eq!(accepting_ids(&registry), ["z"]);
}

/// Guards against requests to a draining instance through a reference that was taken before it began to drain.
#[test]
fn instance_accepts_no_requests_after_its_entry_changed_to_draining() {
    let mut registry = Registry::default();
    registry.upsert(entry("x", 1));
    let held = Arc::clone(&registry.of_service(&"engines".try_into().unwrap())[0]);
    registry.upsert(InstanceEntry { is_draining: true, ..entry("x", 1) });
    assert!(!held.accepts_requests());
}

/// Guards against requests to a dead instance whose address now belongs to another one.
#[test]
fn new_instance_at_an_address_replaces_the_old_one() {
    let mut registry = Registry::default();
    registry.upsert(entry("x", 1));
    registry.upsert(entry("x2", 1));
    assert_eq!(accepting_ids(&registry), ["x2"]);
}

/// Guards against the removal of all instances because their entries expired during a platform outage, and against
/// keeping an instance whose entry is not written again.
#[test]
fn instances_are_kept_for_the_grace_period_after_an_outage() {
    let mut registry = Registry::default();
    registry.replace(vec![entry("x", 1), entry("y", 2)], 0);
    registry.platform_lost(7_000);
    registry.platform_recovered(10_000);
    registry.replace(Vec::new(), 10_000);
    assert_eq!(accepting_ids(&registry), ["x", "y"]);
    registry.upsert(entry("x", 1));
    assert_eq!(registry.next_expiry_ms(), Some(12_000));
    registry.expire(11_999);
    assert_eq!(accepting_ids(&registry), ["x", "y"]);
    registry.expire(12_000);
    assert_eq!(accepting_ids(&registry), ["x"]);
}

/// Guards against a grace period for an instance that is removed long after an outage.
#[test]
fn instance_is_removed_at_once_after_the_grace_period() {
    let mut registry = Registry::default();
    registry.upsert(entry("x", 1));
    registry.platform_lost(7_000);
    registry.platform_recovered(10_000);
    registry.remove("x", 12_500);
    assert!(registry.is_empty());
}

/// Guards against requests to an instance that was removed during an outage too short for entries to expire.
#[test]
fn instance_is_removed_at_once_after_a_short_outage() {
    let mut registry = Registry::default();
    registry.replace(vec![entry("x", 1), entry("y", 2)], 0);
    registry.platform_lost(7_000);
    registry.platform_recovered(7_300);
    registry.replace(vec![entry("x", 1)], 7_300);
    assert_eq!(accepting_ids(&registry), ["x"]);
}

/// Guards against the removal of instances that a restored store lacks because its copy is older than their entries.
#[test]
fn instances_are_kept_for_the_grace_period_after_a_restoration() {
    let mut registry = Registry::default();
    registry.replace(vec![entry("x", 1), entry("y", 2)], 0);
    registry.platform_restored(10_000);
    registry.replace(Vec::new(), 10_000);
    assert_eq!(accepting_ids(&registry), ["x", "y"]);
    registry.upsert(entry("x", 1));
    registry.expire(12_000);
    assert_eq!(accepting_ids(&registry), ["x"]);
}

/// Guards against requests to an instance that a restored store lists, at an address that another instance now has.
#[test]
fn the_last_of_two_listed_instances_at_an_address_is_used() {
    let mut registry = Registry::default();
    registry.upsert(entry("new", 1));
    registry.replace(vec![entry("old", 1), entry("new", 1)], 1_000);
    assert_eq!(accepting_ids(&registry), ["new"]);
}

/// Guards against an instance that is ready again by its entry, although the same run has stated that it leaves, and
/// against one that stays closed after it was started again.
#[test]
fn a_leaving_run_is_closed_until_another_one_is_listed() {
    let mut registry = Registry::default();
    registry.upsert(entry("x", 1));
    registry.record_leaving(&entry("x", 1));
    registry.upsert(InstanceEntry { slots: 13, ..entry("x", 1) });
    assert!(accepting_ids(&registry).is_empty());
    registry.remove("x", 1_000);
    registry.upsert(entry("x", 1));
    assert!(accepting_ids(&registry).is_empty());
    registry.upsert(InstanceEntry { started_unix_ms: Some(2), ..entry("x", 1) });
    assert_eq!(accepting_ids(&registry), ["x"]);
    let unknown = InstanceEntry { started_unix_ms: None, ..entry("y", 2) };
    registry.upsert(unknown.clone());
    registry.record_leaving(&unknown);
    registry.remove("y", 2_000);
    registry.upsert(unknown);
    assert_eq!(accepting_ids(&registry), ["x", "y"]);
}
