//! Tests of the time in which the address of a lost instance can only have been given to its successor.

use quickcheck::quickcheck;
use restart::LostInstances;
use std::sync::Arc;

const REUSE_AFTER_MS: u64 = 2_000;

fn lost(last_sign_ms: u64, now_ms: u64) -> (LostInstances, Arc<str>) {
    let id: Arc<str> = "i-1".into();
    let mut lost = LostInstances::new(REUSE_AFTER_MS);
    lost.record(&id, last_sign_ms, now_ms);
    (lost, id)
}

/// Guards against a failure domain of engines that restarts during an outage of the store and is not used until its
/// end: the address is checked several times before it can belong to another service.
#[test]
fn an_address_is_checked_several_times_while_it_cannot_be_reused() {
    let (mut lost, id) = lost(1_000, 1_100);
    let checks = (1_100..4_000).filter(|now_ms| lost.take_due(*now_ms).contains(&id)).count();
    assert!(checks >= 4, "{checks} checks");
    assert_eq!(lost.next_check_ms(), None);
}

quickcheck! {
    /// Guards against a request to a process of another service, which may have the address from `REUSE_AFTER_MS` after
    /// the end of the lost process, and so after its last sign of life.
    fn no_answer_is_accepted_once_the_address_may_be_reused(sign_ms: u16, delay_ms: u16, answer_ms: u16) -> bool {
        let sign_ms = u64::from(sign_ms);
        let now_ms = sign_ms + u64::from(delay_ms);
        let answered_ms = now_ms + u64::from(answer_ms);
        let (mut lost, id) = lost(sign_ms, now_ms);
        !lost.resolve(&id, answered_ms) || answered_ms < sign_ms + REUSE_AFTER_MS
    }

    /// Guards against checks without end, and against a loop that does not sleep.
    fn checks_end_and_keep_their_distance(sign_ms: u16, steps: Vec<u8>) -> bool {
        let mut now_ms = u64::from(sign_ms);
        let (mut lost, id) = lost(now_ms, now_ms);
        let mut last_check_ms = None;
        for step in steps {
            now_ms += u64::from(step);
            if lost.take_due(now_ms).contains(&id) {
                if last_check_ms.is_some_and(|at_ms| now_ms < at_ms + 250) {
                    return false;
                }
                last_check_ms = Some(now_ms);
            }
        }
        lost.take_due(now_ms + REUSE_AFTER_MS);
        lost.next_check_ms().is_none()
    }
}

/// Guards against checks where addresses may be reused at once.
#[test]
fn nothing_is_checked_without_a_time_of_reuse() {
    let mut lost = LostInstances::new(0);
    lost.record(&"i-1".into(), 1_000, 1_000);
    assert_eq!(lost.next_check_ms(), None);
}
