//! Tests of the registry of instances: changed entries and platform outages.

use ingress::{InstanceEntry, PeerMessage, Registry, SharedRates, SharedTime};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::{collections::HashSet, sync::Arc};

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
        cold_remaining_ms: 0,
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

/// Guards against learned rates that are lost with each change of a registry entry, or that outlast the process.
#[test]
fn learned_rates_belong_to_the_process() {
    let service = "engines".try_into().unwrap();
    let mut registry = Registry::default();
    registry.upsert(entry("x", 1));
    registry.upsert(entry("y", 2));
    let response_ms = |registry: &Registry| {
        let instances = registry.of_service(&service).iter();
        let rates = instances.map(|instance| instance.rates.response_ms(10).unwrap());
        rates.fold((f64::MAX, f64::MIN), |(low, high), ms| (low.min(ms), high.max(ms)))
    };
    for (instance, took_ms) in registry.of_service(&service).iter().zip([60, 500]) {
        instance.rates.observe_response(took_ms, 10);
    }
    let learned = response_ms(&registry);
    assert!(learned.1 > 2.0 * learned.0, "{learned:?}");
    for id_and_port in [("x", 1), ("y", 2)] {
        let changed = InstanceEntry { slots: 6, ..entry(id_and_port.0, id_and_port.1) };
        registry.upsert(changed);
    }
    assert_eq!(response_ms(&registry), learned);
    for (id, port) in [("x", 1), ("y", 2)] {
        registry.upsert(InstanceEntry { started_unix_ms: Some(2), ..entry(id, port) });
    }
    let (low, high) = response_ms(&registry);
    assert_eq!(low, high, "an instance that was started again has the usual rates");
}

/// Guards against messages with the rates of engines that are cut off because they exceed a datagram.
#[test]
fn a_datagram_holds_the_rates_that_are_sent() {
    let rates = |number: u64| SharedRates {
        instance: format!("i-{number:010x}").into(),
        started_unix_ms: Some(1_785_784_684_998),
        prefill: Some(SharedTime { time_ns: 285_714, age_ms: 120_000 }),
        event: Some(SharedTime { time_ns: 37_600_000, age_ms: 120_000 }),
    };
    let message = PeerMessage::Rates((0..36).map(rates).collect());
    let encoded = message.encode();
    assert!(encoded.len() <= 1_400, "{} bytes", encoded.len());
    assert_eq!(PeerMessage::decode(&encoded), Some(message));
}

/// Guards against requests to a dead instance whose address now belongs to another one.
#[test]
fn new_instance_at_an_address_replaces_the_old_one() {
    let mut registry = Registry::default();
    registry.upsert(entry("x", 1));
    registry.upsert(entry("x2", 1));
    assert_eq!(accepting_ids(&registry), ["x2"]);
}

/// Guards against an instance that is closed for good because another writer has left an entry at its address.
#[test]
fn an_instance_that_writes_its_entry_again_gets_its_address_back() {
    let foreign = || InstanceEntry { service: "other".try_into().unwrap(), ..entry("odd", 1) };
    let mut registry = Registry::default();
    registry.upsert(entry("x", 1));
    registry.upsert(foreign());
    registry.upsert(entry("x", 1));
    assert_eq!(accepting_ids(&registry), ["x"]);
    let odd = Arc::clone(&registry.of_service(&"other".try_into().unwrap())[0]);
    assert!(!odd.accepts_requests());
    registry.replace(vec![foreign(), entry("x", 1)], 1_000);
    assert_eq!(accepting_ids(&registry), ["x"]);
    registry.replace(vec![entry("x", 1), foreign()], 2_000);
    assert!(accepting_ids(&registry).is_empty(), "the last entry at the address counts");
    registry.replace(vec![foreign(), entry("x", 1)], 3_000);
    assert_eq!(accepting_ids(&registry), ["x"]);
    registry.remove("odd", 4_000);
    assert_eq!(accepting_ids(&registry), ["x"]);
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

/// What happens to the registry. Instances are given by a number, and their runs by start times.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An entry is written.
    Write { instance: u8, run: u64, slots: u32 },
    /// An entry is removed.
    Remove { instance: u8 },
    /// A list with the entry of the first instance only, which is of this run.
    List { run: u64 },
    /// An answer of this run states that it leaves. It may be of an earlier run than the one that is listed.
    Leave { instance: u8, run: u64 },
    /// The platform does not respond for this time.
    Outage { length_ms: u64 },
    /// The platform's store is restored from an older copy.
    Restore,
    /// Time passes.
    Wait { length_ms: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = u8::arbitrary(g) % 2;
        let run = u64::arbitrary(g) % 3;
        let length_ms = u64::arbitrary(g) % 5_000;
        match u8::arbitrary(g) % 10 {
            0..=2 => Self::Write { instance, run, slots: u32::arbitrary(g) % 2 },
            3 => Self::Remove { instance },
            4 => Self::List { run },
            5..=6 => Self::Leave { instance, run },
            7 => Self::Outage { length_ms },
            8 => Self::Restore,
            _ => Self::Wait { length_ms },
        }
    }
}

/// Guards against a run that takes requests again after it has stated that it leaves, and against one that takes none
/// because another run has left, in any order of answers, entries and outages.
#[test]
fn no_run_takes_requests_after_it_has_stated_that_it_leaves() {
    fn property(steps: Vec<Step>) -> bool {
        let drawn_entry = |instance: u8, run: u64, slots: u32| InstanceEntry {
            started_unix_ms: Some(run),
            slots,
            ..entry(&instance.to_string(), u16::from(instance))
        };
        let mut registry = Registry::default();
        let mut left = HashSet::new();
        let mut now_ms = 0;
        for step in steps {
            let mut written = None;
            match step {
                Step::Write { instance, run, slots } => {
                    registry.upsert(drawn_entry(instance, run, slots));
                    written = Some((instance, run));
                }
                Step::Remove { instance } => registry.remove(&instance.to_string(), now_ms),
                Step::List { run } => {
                    registry.replace(vec![drawn_entry(0, run, 0)], now_ms);
                    written = Some((0, run));
                }
                Step::Leave { instance, run } => {
                    registry.record_leaving(&drawn_entry(instance, run, 0));
                    left.insert((instance.to_string(), Some(run)));
                }
                Step::Outage { length_ms } => {
                    registry.platform_lost(now_ms);
                    now_ms += length_ms;
                    registry.platform_recovered(now_ms);
                }
                Step::Restore => registry.platform_restored(now_ms),
                Step::Wait { length_ms } => {
                    now_ms += length_ms;
                    registry.expire(now_ms);
                }
            }
            let instances = registry.of_service(&"engines".try_into().unwrap());
            let accepting: HashSet<(String, Option<u64>)> = instances
                .iter()
                .filter(|instance| instance.accepts_requests())
                .map(|instance| (instance.entry.id.to_string(), instance.entry.started_unix_ms))
                .collect();
            let written = written.map(|(instance, run)| (instance.to_string(), Some(run)));
            let is_closed =
                written.is_some_and(|run| !left.contains(&run) && !accepting.contains(&run));
            if is_closed || !accepting.is_disjoint(&left) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 20_261_205))
        .tests(20_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}
