//! Tests of the times for which upstreams want no requests.

use limit::UpstreamPauses;
use quickcheck::QuickCheck;

/// Guards against requests before the end of a pause, and against a pause that outlives the process or lasts for ever.
#[test]
fn a_pause_ends_with_its_time_and_with_the_process() {
    let mut pauses = UpstreamPauses::default();
    assert!(pauses.is_empty(0));
    assert!(pauses.record("i-1", Some(1), 1_500, 1_000));
    assert_eq!(pauses.wait_ms("i-1", Some(1), 2_000), 500);
    assert_eq!(pauses.wait_ms("i-1", Some(2), 2_000), 0, "another process");
    assert_eq!(pauses.wait_ms("i-2", Some(1), 2_000), 0);
    assert_eq!(pauses.wait_ms("i-1", Some(1), 2_500), 0);
    assert!(pauses.is_empty(2_500));
    pauses.record("i-1", Some(1), u64::MAX, 3_000);
    assert_eq!(pauses.wait_ms("i-1", Some(1), 3_000), 120_000);
    pauses.forget(122_999);
    assert_eq!(pauses.wait_ms("i-1", Some(1), 122_999), 1);
    pauses.forget(123_000);
    assert!(pauses.is_empty(3_000), "a pause that has ended is remembered");
}

/// Guards against an answer of an earlier process that ends the pause of a later one, and against a memory that grows
/// with the processes that ask for pauses.
#[test]
fn each_process_has_its_own_pause_within_a_bounded_memory() {
    let mut pauses = UpstreamPauses::default();
    pauses.record("i-1", Some(2), 60_000, 0);
    pauses.record("i-1", Some(1), 1_000, 10);
    assert_eq!(pauses.wait_ms("i-1", Some(2), 20), 59_980);
    for number in 0..5_000 {
        pauses.record(&format!("i-{number}"), Some(10 + number), 100_000, 100 + number);
    }
    let waiting =
        (0..5_000).filter(|n| pauses.wait_ms(&format!("i-{n}"), Some(10 + n), 11_000) > 0);
    assert!((1..=4_096).contains(&waiting.count()));
    assert!(pauses.wait_ms("i-4999", Some(5_009), 11_000) > 0, "the last one is remembered");
}

/// Guards, over drawn orders of answers, against a pause that an earlier or repeated answer shortens.
#[test]
fn no_order_of_answers_shortens_a_pause() {
    fn holds(answers: Vec<(u16, u16)>) -> bool {
        let mut pauses = UpstreamPauses::default();
        let mut now_ms = 0;
        let mut end_ms = 0;
        for (step_ms, pause_ms) in answers {
            now_ms += u64::from(step_ms) % 500;
            pauses.record("i-1", None, u64::from(pause_ms), now_ms);
            end_ms = end_ms.max(now_ms + u64::from(pause_ms));
            if pauses.wait_ms("i-1", None, now_ms) != end_ms - now_ms {
                return false;
            }
        }
        true
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<(u16, u16)>) -> bool);
}
