//! Tests of the records of KV cache replicas.

use affinity::{
    Origin, RecordBatch, ReplicaRecord, RunCopy, ServiceVersion, SoftwareVersion, Step,
    VersionRecords,
};
use base::HashSet;

fn version(number: u8) -> ServiceVersion {
    let version = SoftwareVersion::try_from(format!("v{number}")).unwrap();
    ServiceVersion { service: "engines".try_into().unwrap(), version }
}

fn replica(holder: &str, take_ups: u32, last_event_id: u64) -> ReplicaRecord {
    ReplicaRecord {
        holder: holder.into(),
        fingerprint: "f".into(),
        reference: format!("{holder}/run").into(),
        take_ups,
        last_event_id,
        weights_version: None,
    }
}

/// State of a daemon while two versions are in play.
fn records(writer: &str) -> VersionRecords {
    let mut records = VersionRecords::new(writer, 1);
    records.set_registered([(version(1), 1), (version(2), 2)], 0);
    records.set_listed(HashSet::from_iter([version(1), version(2)]), 0);
    records
}

/// Next batch that `records` writes at `now_ms`, after it was acknowledged.
fn write(records: &mut VersionRecords, now_ms: u64) -> RecordBatch {
    let Step::Write(batch) = records.next_step(1, now_ms) else { panic!("nothing to write") };
    records.mark_written(&batch, now_ms);
    batch
}

fn merge(records: &mut VersionRecords, batch: &RecordBatch) {
    for item in &batch.items {
        records.merge_record(&item.name, item.value.as_bytes(), 0).unwrap();
    }
}

/// Guards against a daemon that does not learn of the replica of another daemon's stream.
#[test]
fn another_daemon_reads_the_last_replica_of_a_stream() {
    let (mut first, mut second) = (records("vm-1/1"), records("vm-2/1"));
    first.record_begun("a", version(1), 0);
    first.record_begun("b", version(1), 0);
    first.record_replica("a", version(1), replica("h1", 0, 1), 0);
    merge(&mut second, &write(&mut first, 1_000));
    assert_eq!(second.replica("a"), Some(&replica("h1", 0, 1)));
    assert_eq!(second.replica("b"), None);
    first.record_replica("a", version(1), replica("h2", 0, 9), 1_500);
    let batch = write(&mut first, 2_000);
    assert_eq!(batch.len(), 2, "each stream stands in its item once");
    merge(&mut second, &batch);
    assert_eq!(second.replica("a"), Some(&replica("h2", 0, 9)));
}

/// Guards against a replica that was used up and hides the one of a later run, whichever is read first.
#[test]
fn the_replica_of_the_later_run_counts() {
    let mut begun_at = records("vm-1/1");
    begun_at.record_begun("a", version(1), 0);
    begun_at.record_replica("a", version(1), replica("h1", 0, 1), 0);
    let early = write(&mut begun_at, 1_000);
    let mut resumed_at = records("vm-2/1");
    resumed_at.record_replica("a", version(1), replica("h2", 1, 7), 0);
    let late = write(&mut resumed_at, 1_000);
    for batches in [[&early, &late], [&late, &early]] {
        let mut reader = records("vm-3/1");
        batches.iter().for_each(|batch| merge(&mut reader, batch));
        assert_eq!(reader.replica("a"), Some(&replica("h2", 1, 7)));
    }
    merge(&mut begun_at, &late);
    assert_eq!(begun_at.replica("a"), Some(&replica("h2", 1, 7)));
    merge(&mut resumed_at, &early);
    assert_eq!(resumed_at.replica("a"), Some(&replica("h2", 1, 7)));
}

/// Guards against records of earlier releases that cannot be read, and against odd replicas in an item.
#[test]
fn items_without_replicas_and_with_odd_ones_are_read() {
    let mut reader = records("vm-2/1");
    let long = "x".repeat(10_000);
    let odd = format!(
        r#"[{{"service":"engines","version":"v1","ids":["a"],"replicas":[
            [0,{{"holder":"{long}","fingerprint":"f","reference":"r","take_ups":0,"last_event_id":1}}],
            [7,{{"holder":"h","fingerprint":"f","reference":"r","take_ups":0,"last_event_id":1}}]]}}]"#
    );
    let plain = r#"[{"service":"engines","version":"v1","ids":["b"]}]"#;
    for (name, value) in [("vm-1/1-1", &*odd), ("vm-1/1-2", plain)] {
        reader.merge_record(name, value.as_bytes(), 0).unwrap();
    }
    assert_eq!(reader.len(), (0, 2));
    assert_eq!((reader.replica("a"), reader.replica("b")), (None, None));
}

/// Guards against a replica that is recorded while an older record of its stream is being written, and is never written.
#[test]
fn a_replica_recorded_during_a_write_is_written() {
    let mut first = records("vm-1/1");
    first.record_begun("a", version(1), 0);
    let Step::Write(batch) = first.next_step(1, 1_000) else { panic!("nothing to write") };
    first.record_replica("a", version(1), replica("h1", 0, 1), 1_001);
    first.mark_written(&batch, 1_050);
    let mut second = records("vm-2/1");
    merge(&mut second, &write(&mut first, 2_000));
    assert_eq!(second.replica("a"), Some(&replica("h1", 0, 1)));
}

/// Guards against a stream whose version changes because another request names it.
#[test]
fn a_replica_of_another_version_leaves_the_version_of_the_stream() {
    let mut first = records("vm-1/1");
    first.record_begun("a", version(1), 0);
    first.record_replica("a", version(2), replica("h1", 0, 1), 1);
    let origin = first.recorded_origin("a", &"engines".try_into().unwrap());
    assert_eq!(origin, Some(Origin::Known(version(1).version)));
}

/// Guards against a used-up replica that hides the one of a later run, because its daemon had released more events than
/// the caller received before the stream broke.
#[test]
fn events_that_the_caller_has_not_received_do_not_hide_the_later_run() {
    let mut begun_at = records("vm-1/1");
    begun_at.record_begun("a", version(1), 0);
    begun_at.record_replica("a", version(1), replica("h1", 0, 50), 0);
    let early = write(&mut begun_at, 1_000);
    let mut resumed_at = records("vm-2/1");
    merge(&mut resumed_at, &early);
    // The caller has received 40 events.
    resumed_at.record_replica("a", version(1), replica("h2", 1, 41), 2_000);
    let late = write(&mut resumed_at, 3_000);
    let mut reader = records("vm-3/1");
    merge(&mut reader, &early);
    merge(&mut reader, &late);
    assert_eq!(reader.replica("a"), Some(&replica("h2", 1, 41)));
}

/// Guards against a replica that no other daemon knows while one version is in play, because the store holds no records.
#[test]
fn a_told_replica_is_known_with_its_version() {
    let mut begun_at = VersionRecords::new("vm-1/1", 1);
    begun_at.set_listed(HashSet::from_iter([version(1)]), 0);
    begun_at.record_begun("a", version(1), 0);
    assert_eq!(begun_at.copy("a"), None, "there is no replica yet");
    let is_written = begun_at.record_replica("a", version(1), replica("h1", 0, 1), 0);
    assert!(!is_written, "one version is in play");
    let first = begun_at.copy("a").unwrap();
    let mut told = VersionRecords::new("vm-2/1", 2);
    told.merge_copy(first.clone(), 5);
    assert_eq!(told.copy("a"), Some(first.clone()));
    let origin = told.recorded_origin("a", &"engines".try_into().unwrap());
    assert_eq!(origin, Some(Origin::Known(version(1).version)));
    // A later run replaces the replica, and a message that comes late does not bring the used-up one back.
    let later = RunCopy { replica: replica("h2", 1, 7), ..first.clone() };
    told.merge_copy(later.clone(), 6);
    told.merge_copy(first, 7);
    assert_eq!(told.copy("a"), Some(later));
}

/// Guards against streams that are joined from two versions because two callers have chosen the same identifier.
#[test]
fn told_replicas_of_two_versions_make_the_version_unknown() {
    let mut told = records("vm-2/1");
    for number in [1, 2] {
        let copy = RunCopy {
            stream_id: "a".into(),
            software: version(number),
            replica: replica("h1", 0, 1),
        };
        told.merge_copy(copy, 0);
    }
    let origin = told.recorded_origin("a", &"engines".try_into().unwrap());
    assert_eq!((origin, told.copy("a")), (Some(Origin::Unknown), None));
}

/// Guards against memory that is filled by long texts of a message, and by a burst of messages.
#[test]
fn told_replicas_are_bounded() {
    let mut told = records("vm-2/1");
    let long: Box<str> = "x".repeat(1_000).into();
    let copy = |stream_id: Box<str>, reference: Box<str>| RunCopy {
        stream_id,
        software: version(1),
        replica: ReplicaRecord { reference, ..replica("h1", 0, 1) },
    };
    told.merge_copy(copy(long.clone(), "r".into()), 0);
    told.merge_copy(copy("a".into(), long), 0);
    assert!(told.is_empty());
    for number in 0..50_000 {
        told.merge_copy(copy(format!("{number}").into(), "r".into()), 0);
    }
    assert_eq!(told.len(), (0, 16_384));
}
