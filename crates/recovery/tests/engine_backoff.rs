//! Guards against a frozen engine that is tried again and again, and against one that is avoided for ever.

use recovery::EngineBackoff;

#[test]
fn failures_after_each_return_double_the_time() {
    let mut suspect = EngineBackoff::new(0);
    assert!(suspect.is_avoided(999) && !suspect.is_avoided(1_000));
    suspect.record_failure(500);
    assert!(!suspect.is_avoided(1_000));
    suspect.record_failure(1_500);
    assert!(suspect.is_avoided(3_499) && !suspect.is_avoided(3_500));
}

#[test]
fn the_time_is_bounded_and_failures_are_forgotten() {
    let mut suspect = EngineBackoff::new(0);
    (1..10).for_each(|round| suspect.record_failure(round * 10_000));
    assert!(suspect.is_avoided(97_999) && !suspect.is_avoided(98_000));
    assert!(!suspect.is_expired(105_999) && suspect.is_expired(106_000));
}
