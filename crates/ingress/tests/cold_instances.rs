//! Tests of instances that are still slow after their start.

use ingress::{ColdInstances, InstanceEntry};

fn entry(started_unix_ms: u64, cold_remaining_ms: u64) -> InstanceEntry {
    InstanceEntry {
        id: "i".into(),
        service: "desk".try_into().expect("the name is valid"),
        addr: "127.0.0.1:1".parse().expect("the address is valid"),
        domain: "a".try_into().expect("the name is valid"),
        software_version: "v2".try_into().expect("the version is valid"),
        slots: 12,
        is_draining: false,
        started_unix_ms: Some(started_unix_ms),
        cold_remaining_ms,
    }
}

/// Guards against an instance that counts as slow without an end, because its entry is not written again: each list of all
/// items contains the time of its start once more.
#[test]
fn an_instance_is_cold_until_the_earliest_stated_end() {
    let mut cold = ColdInstances::default();
    assert!(!cold.is_cold("i", 0));
    cold.record(&entry(1, 5_000), 1_000);
    assert!(cold.is_cold("i", 5_999) && !cold.is_cold("i", 6_000));
    cold.record(&entry(1, 5_000), 4_000);
    assert!(!cold.is_cold("i", 6_000), "the same entry in a later list");
    cold.record(&entry(1, 0), 4_500);
    assert!(!cold.is_cold("i", 4_500), "the instance is warm earlier");
    cold.record(&entry(1, 5_000), 5_000);
    assert!(!cold.is_cold("i", 5_000), "an older entry of the same run");
}

/// Guards against a restarted instance that counts as warm because an earlier run of it was.
#[test]
fn another_run_is_cold_again() {
    let mut cold = ColdInstances::default();
    cold.record(&entry(1, 1_000), 0);
    cold.record(&entry(2, 1_000), 5_000);
    assert!(cold.is_cold("i", 5_999) && !cold.is_cold("i", 6_000));
}

/// Guards against memory that grows with each instance that ever started.
#[test]
fn the_instances_that_are_warm_for_the_longest_time_are_dropped() {
    let mut cold = ColdInstances::default();
    for number in 0..5_000 {
        let id = format!("i{number}");
        cold.record(&InstanceEntry { id: id.as_str().into(), ..entry(1, 1_000) }, number);
    }
    assert!(!cold.is_cold("i0", 500), "dropped");
    assert!(cold.is_cold("i4999", 5_000), "kept");
}
