//! Whole rollouts of 89 daemons, without a network. On streams a daemon has about seven requests in a rollout.

mod common;

use crate::common::{Fault, Outcome, Scene, SlowStart, calls, play, scene, streams};
use quickcheck::{Gen, QuickCheck};
use rollout::RolloutState;

/// Number of rollouts that each test plays.
const PLAYS: u64 = 3;

/// Streams that reach the service each second.
const STREAMS_PER_S: f64 = 45.0;

fn stream_scene(fault: Fault, seed: u64) -> Scene {
    scene(streams(STREAMS_PER_S), fault, seed)
}

fn check(holds: fn(u64) -> bool) {
    let rng = Gen::from_size_and_seed(1_000, 20_261_206);
    QuickCheck::new().rng(rng).tests(PLAYS).quickcheck(holds);
}

/// Plays the rollout of a good version. It may lack evidence, but must not be found bad.
fn is_not_blamed(scene: &Scene) -> bool {
    !play(scene).is_found_bad
}

/// Guards against exposing callers to a version that fails on all routes.
#[test]
fn versions_with_errors_are_rolled_back() {
    fn holds(seed: u64) -> bool {
        let outcome = |scene| play(&scene).is_rolled_back();
        let share = if seed.is_multiple_of(2) { 0.3 } else { 0.5 };
        outcome(stream_scene(Fault::Errors(share), seed))
            && outcome(scene(calls(), Fault::Errors(share), seed))
    }
    check(holds);
}

/// Guards against counting only errors, and against waiting for answers that take eight times as long.
#[test]
fn slow_versions_are_rolled_back() {
    fn holds(seed: u64) -> bool {
        let outcome = |scene| play(&scene).is_rolled_back();
        outcome(stream_scene(Fault::Slow(8.0), seed))
            && outcome(scene(calls(), Fault::Slow(8.0), seed))
    }
    check(holds);
}

/// Guards against a route with 7% of the traffic whose few failures drown among the answers of the other.
#[test]
fn versions_that_fail_on_the_small_route_are_rolled_back() {
    fn holds(seed: u64) -> bool {
        let fault_route = Some("small");
        let fault = stream_scene(Fault::Errors(0.31), seed);
        let slowness = stream_scene(Fault::Slow(8.0), seed);
        play(&Scene { fault_route, ..fault }).is_rolled_back()
            && play(&Scene { fault_route, ..slowness }).is_rolled_back()
    }
    check(holds);
}

/// Guards against early good answers that hide the bad ones after them.
#[test]
fn versions_that_become_bad_later_are_rolled_back() {
    fn holds(seed: u64) -> bool {
        let fault = stream_scene(Fault::Errors(0.3), seed);
        play(&Scene { fault_after_ms: 3_000, ..fault }).is_rolled_back()
    }
    check(holds);
}

/// Guards against a trial so thin that no instance of the target version has normal load.
#[test]
fn versions_that_fail_under_load_are_rolled_back() {
    fn holds(seed: u64) -> bool {
        let fault = stream_scene(Fault::Errors(0.3), seed);
        play(&Scene { fault_load: 2, ..fault }).is_rolled_back()
    }
    check(holds);
}

/// Guards against a verdict that needs the store, or one certain daemon.
#[test]
fn bad_versions_get_nothing_more_without_the_store_and_two_judges() {
    fn holds(seed: u64) -> bool {
        let fault = stream_scene(Fault::Errors(0.5), seed);
        let outcome = play(&Scene { store_is_silent: true, dead_judges: 2, ..fault });
        outcome.is_exposure_kept() && outcome.last_send_ms < 6_000
    }
    check(holds);
}

/// Guards against taking ordinary errors, of which idempotent calls have up to 0.14, for those of the version.
#[test]
fn good_versions_are_not_blamed_for_ordinary_errors() {
    fn holds(seed: u64) -> bool {
        is_not_blamed(&stream_scene(Fault::None, seed))
            && is_not_blamed(&scene(calls(), Fault::None, seed))
    }
    check(holds);
}

/// Guards against taking the crash of a whole failure domain for a fault of the version.
#[test]
fn good_versions_are_not_blamed_for_the_crash_of_a_domain() {
    fn holds(seed: u64) -> bool {
        let crash_ms = Some(2_000 + seed % 5_000);
        is_not_blamed(&Scene { crash_ms, ..stream_scene(Fault::None, seed) })
            && is_not_blamed(&Scene { crash_ms, ..scene(calls(), Fault::None, seed) })
    }
    check(holds);
}

/// Guards against taking the slow answers of instances that have just started for those of the version.
#[test]
fn good_versions_are_not_blamed_for_slow_starts() {
    fn holds(seed: u64) -> bool {
        let slow_start = Some(SlowStart { duration_ms: 3_000, factor: 4.0, is_stated: true });
        is_not_blamed(&Scene { slow_start, ..stream_scene(Fault::None, seed) })
            && is_not_blamed(&Scene { slow_start, ..scene(calls(), Fault::None, seed) })
    }
    check(holds);
}

/// Guards against a bad version that hides behind the slow starts of its instances.
#[test]
fn bad_versions_with_slow_starts_are_rolled_back() {
    fn holds(seed: u64) -> bool {
        let slow_start = Some(SlowStart { duration_ms: 3_000, factor: 4.0, is_stated: true });
        let fault = if seed.is_multiple_of(2) { Fault::Slow(8.0) } else { Fault::Errors(0.3) };
        play(&Scene { slow_start, ..stream_scene(fault, seed) }).is_rolled_back()
            && play(&Scene { slow_start, ..scene(calls(), fault, seed) }).is_rolled_back()
    }
    check(holds);
}

/// Guards against rollouts that wait for more evidence than a service yields in the time of an order.
#[test]
fn most_good_versions_are_completed_in_time() {
    let plays = |make: fn(u64) -> Scene| -> Vec<Outcome> {
        (0..10).map(|seed| play(&make(seed))).collect()
    };
    let completed = |outcomes: &[Outcome]| {
        outcomes.iter().filter(|outcome| outcome.state == Some(RolloutState::Completed)).count()
    };
    let on_streams = plays(|seed| stream_scene(Fault::None, seed));
    assert!(completed(&on_streams) >= 7, "{on_streams:?}");
    let on_calls = plays(|seed| scene(calls(), Fault::None, seed));
    assert_eq!(completed(&on_calls), 10, "{on_calls:?}");
}
