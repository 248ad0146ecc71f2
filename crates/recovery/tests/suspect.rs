//! Guards against a frozen engine that is tried again and again, and against one that is avoided for ever.

use recovery::Suspect;

#[test]
fn failures_after_each_return_double_the_time() {
    let mut suspect = Suspect::new(0);
    assert!(suspect.is_avoided(999) && !suspect.is_avoided(1_000));
    suspect.fail(500);
    assert!(!suspect.is_avoided(1_000));
    suspect.fail(1_500);
    assert!(suspect.is_avoided(3_499) && !suspect.is_avoided(3_500));
}

#[test]
fn the_time_is_bounded_and_failures_are_forgotten() {
    let mut suspect = Suspect::new(0);
    (1..10).for_each(|round| suspect.fail(round * 10_000));
    assert!(suspect.is_avoided(97_999) && !suspect.is_avoided(98_000));
    assert!(!suspect.is_over(105_999) && suspect.is_over(106_000));
}
