//! Tests of what daemons know of the versions of streams, beside a model that knows at which version each began.

mod common;

use affinity::{Origin, STREAM_LIFE_MS, ServiceVersion, Step, VersionRecords};
use base::HashSet;
use common::{CallOutcome, Fleet, service, version};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const DAEMONS: usize = 4;

/// Applies a drawn event to a fleet, and checks the origin of the stream if one is taken up.
fn apply(fleet: &mut Fleet, kind: u8, value: u16) -> Result<(), String> {
    let daemon = usize::from(value) % DAEMONS;
    let rest = usize::from(value) / DAEMONS;
    match kind % 40 {
        0..=9 => fleet.begin(daemon, rest),
        10..=14 => fleet.sync(daemon),
        15..=19 => fleet.step(daemon, CallOutcome::Done),
        20 => fleet.step(daemon, CallOutcome::AnswerLost),
        21 => fleet.step(daemon, CallOutcome::Delayed),
        22 => fleet.step(daemon, CallOutcome::Refused),
        23..=24 => fleet.toggle((rest % 4) as u8),
        25 => fleet.kill(daemon),
        26 if rest.is_multiple_of(4) => (0..DAEMONS).for_each(|daemon| fleet.kill(daemon)),
        26 if rest % 4 == 1 => fleet.lose_version((rest / 4 % 4) as u8),
        26 => fleet.tell(daemon, rest / 4),
        27 => fleet.is_down = rest.is_multiple_of(3),
        28 => fleet.save_copy(),
        29 if rest.is_multiple_of(8) => fleet.restore(),
        30 => fleet.pass(u64::from(value)),
        31 => fleet.pass(u64::from(value % 700)),
        32 => fleet.settle([1, 5, 40, 130][rest % 4]),
        39 => fleet.join_without(daemon, (rest % 4) as u8),
        33..=38 if !fleet.streams.is_empty() => {
            let recent = fleet.streams.len().min(64);
            return check(fleet, daemon, fleet.streams.len() - 1 - rest % recent);
        }
        _ => {}
    }
    Ok(())
}

/// Checks that the daemon does not take the stream for one of another version.
fn check(fleet: &mut Fleet, daemon: usize, stream: usize) -> Result<(), String> {
    let taken_up = fleet.streams[stream].clone();
    if fleet.now_ms >= taken_up.begun_ms + STREAM_LIFE_MS {
        return Ok(());
    }
    let is_exempt = fleet.is_exempt(&taken_up);
    if taken_up.is_registered
        && taken_up.restorations == fleet.restorations
        && !fleet.store.versions.contains_key(&taken_up.software.key())
    {
        return Err(format!("the version of {taken_up:?} is not registered"));
    }
    match fleet.take_up(daemon, stream) {
        Some(Origin::Known(version)) if version != taken_up.software.version && !is_exempt => {
            Err(format!("{taken_up:?} is taken for one of {version}"))
        }
        _ => Ok(()),
    }
}

/// Guards against streams that are joined from two versions, through kills, outages, lost answers and restorations.
#[test]
fn no_stream_is_taken_for_one_of_another_version() {
    fn holds(events: Vec<(u8, u16)>) -> TestResult {
        let mut fleet = Fleet::start(DAEMONS);
        for (kind, value) in events {
            if let Err(text) = apply(&mut fleet, kind, value) {
                return TestResult::error(text);
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::new(600))
        .tests(100)
        .quickcheck(holds as fn(Vec<(u8, u16)>) -> TestResult);
}

/// Runs a fleet without faults of the store: releases, kills of one or all daemons, begins and take-ups. Returns the
/// number of take-ups, of those whose version was known, and of those at another version.
fn run(seed: u64) -> (u32, u32, u32) {
    let mut fleet = Fleet::start(DAEMONS);
    let mut random = seed;
    let mut draw = |below: u64| {
        random =
            random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) % below
    };
    fleet.settle(2);
    let (mut taken_up, mut known, mut wrong) = (0, 0, 0);
    for _ in 0..600 {
        fleet.pass(50);
        for daemon in 0..DAEMONS {
            if draw(4) == 0 {
                fleet.sync(daemon);
            }
            fleet.step(daemon, CallOutcome::Done);
            fleet.begin(daemon, draw(16) as usize);
        }
        if draw(60) == 0 {
            fleet.toggle(draw(4) as u8);
        }
        match draw(100) {
            0 => (0..DAEMONS).for_each(|daemon| fleet.kill(daemon)),
            1..=3 => fleet.kill(draw(DAEMONS as u64) as usize),
            _ => {}
        }
        for _ in 0..2 {
            let recent = fleet.streams.len().min(400) as u64;
            if recent == 0 {
                continue;
            }
            let stream = fleet.streams.len() - 1 - draw(recent) as usize;
            let Some(origin) = fleet.take_up(draw(DAEMONS as u64) as usize, stream) else {
                continue;
            };
            taken_up += 1;
            match origin {
                Origin::Known(version) if version == fleet.streams[stream].software.version => {
                    known += 1
                }
                Origin::Known(_) => wrong += 1,
                Origin::Unknown => {}
            }
        }
    }
    (taken_up, known, wrong)
}

/// Guards against take-ups that are refused for as long as the item of the versions is that of another era: until then,
/// records decide.
#[test]
fn most_take_ups_go_on_after_a_restoration() {
    let (mut taken_up, mut known) = (0, 0);
    for seed in 0..4 {
        let mut fleet = Fleet::start(DAEMONS);
        let mut random = Gen::from_size_and_seed(100, seed);
        fleet.settle(2);
        fleet.save_copy();
        fleet.settle(5);
        fleet.restore();
        fleet.settle(1);
        for round in 0..400_usize {
            fleet.pass(50);
            for daemon in 0..DAEMONS {
                fleet.sync(daemon);
                fleet.step(daemon, CallOutcome::Done);
                fleet.begin(daemon, 0);
            }
            if round % 50 == 49 {
                let killed = usize::arbitrary(&mut random) % DAEMONS;
                fleet.kill(killed);
                fleet.sync(killed);
            }
            let stream =
                fleet.streams.len() - 1 - usize::arbitrary(&mut random) % 200 % fleet.streams.len();
            let origin = fleet.take_up(usize::arbitrary(&mut random) % DAEMONS, stream);
            taken_up += 1;
            known += u32::from(origin == Some(Origin::Known(version(0).version)));
        }
    }
    println!("{known} of {taken_up} take-ups are known");
    assert!(f64::from(known) > 0.5 * f64::from(taken_up), "{known} of {taken_up}");
}

/// Guards against an item that never states the new era, and against one that states it while a stream from before the
/// restoration can still be taken up.
#[test]
fn the_versions_are_complete_again_after_the_life_of_the_streams() {
    let mut fleet = Fleet::start(DAEMONS);
    fleet.settle(1);
    fleet.save_copy();
    fleet.toggle(1);
    fleet.settle(1);
    fleet.begin(0, 1);
    fleet.restore();
    (0..DAEMONS).for_each(|daemon| fleet.kill(daemon));
    fleet.toggle(1);
    fleet.settle(STREAM_LIFE_MS / 1_000);
    assert_eq!(fleet.take_up(1, 0), Some(Origin::Unknown));
    fleet.settle(STREAM_LIFE_MS / 1_000 + 2);
    fleet.begin(0, 0);
    assert_eq!(fleet.take_up(1, 1), Some(Origin::Known(version(0).version)));
    assert!(fleet.calls <= 4, "{} calls", fleet.calls);
}

/// Guards against take-ups that are refused although the store works.
#[test]
fn most_take_ups_go_on_while_the_store_works() {
    let (mut taken_up, mut known) = (0, 0);
    for seed in 0..12 {
        let run = run(seed);
        assert_eq!(run.2, 0, "seed {seed} joins streams");
        taken_up += run.0;
        known += run.1;
    }
    println!("{known} of {taken_up} take-ups are known");
    assert!(taken_up > 10_000);
    assert!(f64::from(known) > 0.9 * f64::from(taken_up), "{known} of {taken_up}");
}

/// Guards against calls to the store in the usual state.
#[test]
fn a_single_version_is_registered_once_and_writes_no_records() {
    let mut fleet = Fleet::start(DAEMONS);
    fleet.settle(1);
    for _ in 0..100 {
        (0..DAEMONS).for_each(|daemon| fleet.begin(daemon, 0));
        fleet.settle(1);
    }
    assert!(fleet.store.records.is_empty());
    assert_eq!(fleet.store.versions.len(), 1);
    assert!(fleet.calls <= DAEMONS as u64, "{} calls", fleet.calls);
    let last = fleet.streams.len() - 1;
    (0..DAEMONS).for_each(|daemon| fleet.kill(daemon));
    fleet.settle(1);
    assert_eq!(fleet.take_up(1, last), Some(Origin::Known(version(0).version)));
}

/// Guards against losing the streams that are in flight when the second version appears, with all daemons killed.
#[test]
fn streams_in_flight_are_recorded_when_a_second_version_appears() {
    let mut fleet = Fleet::start(DAEMONS);
    fleet.settle(1);
    for _ in 0..300 {
        (0..DAEMONS).for_each(|daemon| fleet.begin(daemon, 0));
    }
    fleet.toggle(1);
    fleet.settle(2);
    (0..DAEMONS).for_each(|daemon| fleet.kill(daemon));
    fleet.toggle(0);
    fleet.settle(1);
    for stream in 0..fleet.streams.len() {
        assert_eq!(fleet.take_up(2, stream), Some(Origin::Known(version(0).version)));
    }
}

/// Guards against a version that is never forgotten, and against one that is forgotten while a stream can be taken up.
#[test]
fn a_version_leaves_after_the_life_of_its_streams() {
    let mut fleet = Fleet::start(DAEMONS);
    fleet.settle(1);
    fleet.toggle(1);
    fleet.settle(1);
    fleet.toggle(0);
    fleet.settle(STREAM_LIFE_MS / 1_000 - 1);
    assert_eq!(fleet.store.versions.len(), 2);
    fleet.settle(5);
    assert_eq!(fleet.store.versions.len(), 1);
}

/// Guards against memory that grows with a burst, and against a burst of writes.
#[test]
fn a_burst_of_streams_is_bounded_in_memory_and_in_writes() {
    let mut versions = VersionRecords::new("vm/1", 1);
    let both = HashSet::from_iter([version(0), version(1)]);
    versions.set_registered([(version(0), 1), (version(1), 2)], 0);
    versions.set_listed(both, 0);
    for number in 0..50_000 {
        versions.record_begun(&format!("{number:016x}"), version(0), 0);
        let other = format!(r#"[{{"service":"engines","version":"v1","ids":["x{number}"]}}]"#);
        versions.merge_record("vm-2/1-1", other.as_bytes(), 0).unwrap();
    }
    assert_eq!(versions.len(), (4_096, 16_384));
    let (mut writes, mut now_ms) = (0, 0);
    while now_ms < 10_000 {
        match versions.next_step(195, now_ms) {
            Step::Write(batch) => {
                assert!(batch.items.len() <= 32, "a transaction has at most 32 entries");
                versions.mark_written(&batch, now_ms);
                writes += 1;
            }
            Step::Wait(until_ms) => now_ms = until_ms,
            step => panic!("{step:?}"),
        }
    }
    assert!(writes <= 10, "{writes} writes");
    assert_eq!(versions.next_step(195, STREAM_LIFE_MS), Step::Wait(STREAM_LIFE_MS + 1_000));
    assert!(versions.is_empty());
}

/// Guards against an odd item of another writer.
#[test]
fn odd_items_are_errors_and_change_nothing() {
    let mut versions = VersionRecords::new("vm/1", 1);
    let nested = "[".repeat(100_000);
    let odd: [&[u8]; 6] = [
        b"",
        b"\xff\xfe",
        nested.as_bytes(),
        br#"[{"service":"engines","version":1e400,"ids":[]}]"#,
        br#"[{"service":"engines","version":"v1","ids":["a"]},{"service":"","version":"v1","ids":["b"]}]"#,
        br#"[{"service":"engines","service":"engines","version":"v1","ids":["a"]}]"#,
    ];
    for value in odd {
        assert!(versions.merge_record("vm-2/1-1", value, 0).is_err());
        assert!(ServiceVersion::decode("0", value).is_err());
    }
    let long =
        format!(r#"[{{"service":"engines","version":"v1","ids":["{}"]}}]"#, "x".repeat(10_000));
    versions.merge_record("vm-2/1-1", long.as_bytes(), 0).unwrap();
    assert!(versions.is_empty());
}

/// Guards against joining streams whose identifier two callers have chosen.
#[test]
fn contradicting_records_make_the_version_unknown() {
    let mut versions = VersionRecords::new("vm/1", 1);
    for number in 0..2 {
        let value = format!(r#"[{{"service":"engines","version":"v{number}","ids":["a"]}}]"#);
        versions.merge_record("vm-2/1-1", value.as_bytes(), 0).unwrap();
    }
    assert_eq!(versions.recorded_origin("a", &service()), Some(Origin::Unknown));
    let other = "others".try_into().unwrap();
    versions.record_begun("b", version(1), 0);
    assert_eq!(versions.recorded_origin("b", &other), Some(Origin::Unknown));
}
