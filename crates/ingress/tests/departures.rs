//! Tests of what is made of registry entries in an older copy of the platform's store.

use base::HashSet;
use ingress::{Departures, InstanceEntry, Standing};
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn entry(started_unix_ms: Option<u64>, is_draining: bool) -> InstanceEntry {
    InstanceEntry {
        id: "x".into(),
        service: "engines".try_into().unwrap(),
        addr: ([10, 0, 0, 1], 1).into(),
        domain: "a".try_into().unwrap(),
        software_version: "v1".try_into().unwrap(),
        slots: 12,
        is_draining,
        started_unix_ms,
        cold_remaining_ms: 0,
    }
}

/// Guards against an instance that is ready again by an entry from before it began to drain or left, also if the copy
/// has an older entry than the last one that was known.
#[test]
fn an_older_copy_undoes_no_departure() {
    for known_revisions in [&[3][..], &[3, 7]] {
        for has_left in [false, true] {
            let mut departures = Departures::default();
            for &revision in known_revisions {
                departures.judge_listed(&entry(None, false), revision);
            }
            let expected = if has_left {
                departures.record_removal("x");
                Standing::Left
            } else {
                departures.judge_written(&entry(None, true), 9);
                Standing::Draining
            };
            departures.begin_era();
            assert_eq!(departures.judge_listed(&entry(None, false), 3), expected);
        }
    }
}

/// Guards against keeping out an instance that was started again, or has written its entry since the restoration.
#[test]
fn an_instance_that_comes_back_is_used() {
    let mut departures = Departures::default();
    departures.judge_listed(&entry(Some(1), false), 3);
    departures.record_removal("x");
    departures.begin_era();
    let mut restarted = departures;
    assert_eq!(restarted.judge_listed(&entry(Some(1), false), 3), Standing::Left);
    assert_eq!(restarted.judge_written(&entry(Some(1), false), 3), Standing::Current);
    assert_eq!(restarted.judge_listed(&entry(Some(2), false), 2), Standing::Current);
}

/// Guards against an instance that reports that it is draining, and is ready again in the same run.
#[test]
fn a_run_that_drains_is_never_ready_again_after_a_restoration() {
    let mut departures = Departures::default();
    departures.judge_listed(&entry(Some(1), true), 9);
    departures.begin_era();
    assert_eq!(departures.judge_listed(&entry(Some(1), false), 12), Standing::Draining);
    assert_eq!(departures.judge_written(&entry(Some(1), false), 13), Standing::Draining);
    assert_eq!(departures.judge_written(&entry(Some(2), false), 14), Standing::Current);
}

/// Guards against a list of instances that have left, which grows for as long as the daemon runs.
#[test]
fn a_bounded_number_of_instances_is_remembered() {
    let mut departures = Departures::default();
    for number in 0..10_000_u32 {
        let id = number.to_string();
        let entry = InstanceEntry { id: id.as_str().into(), ..entry(None, false) };
        departures.judge_written(&entry, u64::from(number));
        departures.record_removal(&id);
    }
    departures.begin_era();
    let listed = |id: &str| InstanceEntry { id: id.into(), ..entry(None, false) };
    assert_eq!(departures.judge_listed(&listed("0"), 0), Standing::Current);
    assert_eq!(departures.judge_listed(&listed("9999"), 9_999), Standing::Left);
}

/// Step of the life of an instance that starts ready, and of the store.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The instance begins to drain.
    Drain,
    /// The instance leaves, or its entry lapses.
    Leave,
    /// Another run of the instance starts.
    Start,
    /// The store loses this number of writes.
    Restore(u8),
    /// The daemon lists all items instead of watching.
    List,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 6 {
            0 => Self::Drain,
            1 => Self::Leave,
            2 => Self::Start,
            3 => Self::List,
            _ => Self::Restore(u8::arbitrary(g) % 5),
        }
    }
}

/// Plays the steps with a daemon that sees each write of the instance, beside a model that knows whether the instance
/// takes requests. Returns whether the daemon never uses a run that has begun to drain or left.
fn no_departure_is_undone(steps: Vec<Step>) -> bool {
    let mut departures = Departures::default();
    // Entry after each write, by revision.
    let mut history: Vec<Option<InstanceEntry>> = vec![Some(entry(Some(0), false))];
    let mut run = 0;
    let mut is_ready = true;
    departures.judge_listed(&entry(Some(0), false), 0);
    for step in steps {
        let revision = history.len() as u64;
        let is_listed = match step {
            Step::Drain if is_ready => {
                is_ready = false;
                history.push(Some(entry(Some(run), true)));
                departures.judge_written(&entry(Some(run), true), revision);
                false
            }
            Step::Leave => {
                is_ready = false;
                history.push(None);
                departures.record_removal("x");
                false
            }
            Step::Start => {
                run += 1;
                is_ready = true;
                history.push(Some(entry(Some(run), false)));
                departures.judge_written(&entry(Some(run), false), revision);
                false
            }
            Step::Restore(lost) => {
                let kept = history.len().saturating_sub(usize::from(lost)).max(1);
                history.truncate(kept);
                true
            }
            Step::Drain | Step::List => true,
        };
        let is_restored = matches!(step, Step::Restore(_));
        if is_listed {
            let listed = history.last().cloned().flatten();
            let ids = HashSet::from_iter(listed.iter().map(|_| "x"));
            if is_restored {
                departures.begin_era()
            } else {
                departures.record_missing(&ids)
            };
            if let Some(listed) = listed {
                let written = history.iter().rposition(|at| at.as_ref() == Some(&listed));
                let standing = departures.judge_listed(&listed, written.unwrap_or(0) as u64);
                let is_used = standing == Standing::Current && !listed.is_draining;
                let is_gone = listed.started_unix_ms < Some(run) || !is_ready;
                if is_used && is_gone {
                    return false;
                }
            }
        }
    }
    true
}

/// Guards against a departure that an older copy of the store undoes, in drawn orders of departures and restorations.
#[test]
fn no_order_of_restorations_undoes_a_departure() {
    QuickCheck::new().tests(5_000).quickcheck(no_departure_is_undone as fn(Vec<Step>) -> bool);
}
