//! Guards against attempts that keep choosing a frozen engine, and against an engine that is avoided forever.

use recovery::EngineBackoff;

#[test]
fn a_failure_after_the_backoff_doubles_it() {
    let mut backoff = EngineBackoff::new(0);
    assert!(backoff.is_avoided(999) && !backoff.is_avoided(1_000));
    backoff.record_failure(500);
    assert!(!backoff.is_avoided(1_000));
    backoff.record_failure(1_500);
    assert!(backoff.is_avoided(3_499) && !backoff.is_avoided(3_500));
}

#[test]
fn the_backoff_is_bounded_and_expires() {
    let mut backoff = EngineBackoff::new(0);
    (1..10).for_each(|round| backoff.record_failure(round * 10_000));
    assert!(backoff.is_avoided(97_999) && !backoff.is_avoided(98_000));
    assert!(!backoff.is_expired(105_999) && backoff.is_expired(106_000));
}
