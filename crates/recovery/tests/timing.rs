//! Guards against silence timeouts that do not follow the usual gap between a model's tokens.

use recovery::{Policy, Timing, TimingTracker};

#[test]
fn the_default_gap_is_used_until_enough_gaps_were_measured() {
    let mut tracker = TimingTracker::default();
    (0..100).for_each(|_| tracker.observe_gap(500));
    assert_eq!(tracker.timing(), Timing::default());
}

#[test]
fn the_p99_gap_is_measured_within_the_error_of_a_bucket() {
    let mut tracker = TimingTracker::default();
    (0..6_400).for_each(|number| tracker.observe_gap(if number % 50 == 0 { 300 } else { 40 }));
    let gap_ms = tracker.timing().gap_ms;
    assert!((300.0..330.0).contains(&gap_ms), "{gap_ms}");
}

#[test]
fn the_gaps_of_a_model_that_became_faster_replace_the_old_ones() {
    let mut tracker = TimingTracker::default();
    (0..20_000).for_each(|_| tracker.observe_gap(400));
    (0..200_000).for_each(|_| tracker.observe_gap(40));
    assert!(tracker.timing().gap_ms < 50.0);
}

#[test]
fn the_silence_timeout_stays_between_its_floor_and_cap() {
    let silence_ms = |gap_ms| Policy::LATENCY.silence_ms(Timing { gap_ms, ..Timing::default() });
    assert_eq!([silence_ms(10.0), silence_ms(100.0), silence_ms(9_000.0)], [400, 800, 1_200]);
}

/// Guards against a usual generation time that only the first generations or a few long ones determine.
#[test]
fn the_usual_duration_is_known_after_enough_generations() {
    let mut tracker = TimingTracker::default();
    for _ in 0..15 {
        tracker.observe_generation(5_000);
    }
    assert_eq!(tracker.timing().generation_ms, None);
    for _ in 0..60 {
        tracker.observe_generation(5_000);
    }
    for _ in 0..15 {
        tracker.observe_generation(20_000);
    }
    let generation_ms = tracker.timing().generation_ms.unwrap();
    assert!((5_000.0..5_500.0).contains(&generation_ms), "{generation_ms}");
}
