//! Tests of the order in which streams look for engines while a burst fills all of them.

use limit::{StreamProgress, StreamQueue, WaitingStream};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Stream with arbitrary properties that decide on its place.
#[derive(Clone, Copy, Debug)]
struct AnyStream(WaitingStream);

impl Arbitrary for AnyStream {
    fn arbitrary(g: &mut Gen) -> Self {
        let all = [StreamProgress::New, StreamProgress::Begun, StreamProgress::Late];
        Self(WaitingStream {
            number: 0,
            level: *g.choose(&[0, 1, 3, 9]).unwrap(),
            progress: *g.choose(&all).unwrap(),
            latest_start_ms: u64::arbitrary(g) % 10_000,
            since_ms: u64::arbitrary(g) % 4_000,
            is_unconstrained: *g.choose(&[true, true, false]).unwrap(),
            version_key: None,
        })
    }
}

/// Returns a queue of the streams, with their positions as numbers.
fn queue_of(streams: &[AnyStream]) -> StreamQueue {
    let mut queue = StreamQueue::default();
    for (number, AnyStream(stream)) in (0..).zip(streams) {
        queue.enter(WaitingStream { number, ..*stream });
    }
    queue
}

/// Fails if all streams wait for each other, or if two that could use any engine look at a time.
#[test]
fn exactly_one_unconstrained_stream_is_next() {
    fn holds(streams: Vec<AnyStream>) -> bool {
        let queue = queue_of(&streams);
        let next = (0..).zip(&streams).filter(|(_, stream)| stream.0.is_unconstrained);
        let count = next.filter(|&(number, _)| queue.is_next(number, 4_000)).count();
        count == usize::from(streams.iter().any(|stream| stream.0.is_unconstrained))
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(12, 1)).tests(2_000);
    checker.quickcheck(holds as fn(Vec<AnyStream>) -> bool);
}

/// Fails if a stream that can be in time waits behind one of the same age that is less urgent, new in place of begun, or
/// late.
#[test]
fn the_order_is_by_class_then_begun_ones_then_the_latest_start() {
    let new = WaitingStream {
        number: 0,
        level: 5,
        progress: StreamProgress::New,
        latest_start_ms: 5_000,
        since_ms: 0,
        is_unconstrained: true,
        version_key: None,
    };
    let late = WaitingStream { progress: StreamProgress::Late, latest_start_ms: 0, ..new };
    let late_urgent = WaitingStream { level: 0, ..late };
    let sooner = WaitingStream { latest_start_ms: 4_000, ..new };
    let begun = WaitingStream { progress: StreamProgress::Begun, ..new };
    let urgent = WaitingStream { level: 0, latest_start_ms: 9_000, ..new };
    let order = [urgent, begun, sooner, new, late_urgent, late];
    let mut queue = queue_of(&order.map(AnyStream));
    for number in 0..order.len() as u64 {
        let next: Vec<u64> = (number..6).filter(|&other| queue.is_next(other, 10)).collect();
        assert_eq!(next, [number]);
        assert!(queue.leave(number));
    }
    assert!(queue.is_empty());
}

/// Fails if a late stream of any level delays one of the same age that can be in time.
#[test]
fn late_streams_are_behind_all_that_can_be_in_time() {
    fn holds(late: AnyStream, in_time: AnyStream) -> bool {
        let late = WaitingStream { progress: StreamProgress::Late, since_ms: 0, ..late.0 };
        let progress = match in_time.0.progress {
            StreamProgress::Late => StreamProgress::New,
            progress => progress,
        };
        let in_time = WaitingStream { progress, since_ms: 0, is_unconstrained: true, ..in_time.0 };
        let queue = queue_of(&[AnyStream(late), AnyStream(in_time)]);
        !queue.is_next(0, 1_000) && queue.is_next(1, 1_000)
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(12, 1)).tests(2_000);
    checker.quickcheck(holds as fn(AnyStream, AnyStream) -> bool);
}

/// Fails if a stream starves because more urgent ones keep coming.
#[test]
fn a_stream_of_the_standard_tier_comes_before_new_urgent_ones_after_a_bounded_wait() {
    let standard = WaitingStream {
        number: 0,
        level: 5,
        progress: StreamProgress::New,
        latest_start_ms: 8_800,
        since_ms: 0,
        is_unconstrained: true,
        version_key: None,
    };
    let mut queue = StreamQueue::default();
    queue.enter(standard);
    let urgent = WaitingStream { number: 1, level: 0, ..standard };
    queue.enter(WaitingStream { since_ms: 9_000, latest_start_ms: 11_800, ..urgent });
    assert!(!queue.is_next(0, 9_000));
    queue.enter(WaitingStream { since_ms: 10_000, latest_start_ms: 12_800, ..urgent });
    assert!(queue.is_next(0, 10_000));
}

/// Fails if streams that callers take up after the loss of all power all look for one of the few engines of their version at
/// a time, if one looks before another that has less time left, or if they wait for those of another version.
#[test]
fn take_ups_of_one_version_look_in_the_order_of_the_time_left() {
    fn holds(latest_starts: Vec<(u16, bool)>) -> bool {
        let take_ups = latest_starts.iter().map(|(latest_start_ms, is_of_first)| {
            AnyStream(WaitingStream {
                number: 0,
                level: 5,
                progress: StreamProgress::Begun,
                latest_start_ms: u64::from(*latest_start_ms),
                since_ms: 0,
                is_unconstrained: false,
                version_key: Some(u64::from(*is_of_first)),
            })
        });
        let mut queue = queue_of(&take_ups.collect::<Vec<_>>());
        [true, false].into_iter().all(|version| {
            let of_version = (0..).zip(&latest_starts).filter(|(_, take_up)| take_up.1 == version);
            let mut expected: Vec<(u16, u64)> =
                of_version.map(|(number, take_up)| (take_up.0, number)).collect();
            expected.sort_unstable();
            let numbers: Vec<u64> = expected.iter().map(|(_, number)| *number).collect();
            (0..numbers.len()).all(|position| {
                let waiting = &numbers[position..];
                let mut next = waiting.iter().filter(|&&number| queue.is_next(number, 10));
                let is_in_order = next.next() == waiting.first() && next.next().is_none();
                is_in_order && queue.leave(waiting[0])
            })
        })
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(50, 1)).tests(500);
    checker.quickcheck(holds as fn(Vec<(u16, bool)>) -> bool);
}
