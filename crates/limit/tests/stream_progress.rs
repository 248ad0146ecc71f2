//! Tests of the level at which streams wait, on a heavy day with two tiers (priorities 0 and 5) on 142 engines.

use limit::{Priority, StreamProgress};
use quickcheck::{Gen, QuickCheck};

/// Fails if a late stream can delay one that can be in time, if a less urgent priority overtakes a more urgent one with
/// the same progress, or if a level is not one that engines know.
#[test]
fn late_streams_are_behind_all_others_and_priorities_keep_their_order() {
    fn holds(one: i64, other: i64) -> bool {
        let (one, other) = (Priority::clamped(one), Priority::clamped(other));
        let (high, low) = (one.min(other), one.max(other));
        let all = [StreamProgress::Begun, StreamProgress::New, StreamProgress::Late];
        let keeps_order = |progress: StreamProgress| {
            progress.queue_level(high) <= progress.queue_level(low)
                && progress.queue_level(low) <= 9
        };
        let [begun, new, late] = all.map(|progress| progress.queue_level(low));
        let is_late_last = late > StreamProgress::New.queue_level(Priority::clamped(9))
            && StreamProgress::Late.queue_level(high) > new;
        all.into_iter().all(keeps_order) && begun <= new && is_late_last
    }
    let checker = QuickCheck::new().rng(Gen::from_size_and_seed(20, 1));
    checker.tests(1_000).quickcheck(holds as fn(i64, i64) -> bool);
}

/// Fails if the two tiers of a deployment get the same level, or if odd configured values wrap around.
#[test]
fn configured_priorities_map_to_distinct_levels() {
    let level = |value| StreamProgress::New.queue_level(Priority::clamped(value));
    assert_eq!((level(0), level(5)), (0, 5));
    assert_eq!(Priority::default(), Priority::clamped(5));
    assert_eq!((level(-3), level(300)), (0, 7));
}
