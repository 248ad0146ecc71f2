//! Guards against recovery that overloads the engines that are left, and against requests that are never admitted.

use quickcheck::{Gen, QuickCheck};
use recovery::{RecoveryLimiter, RecoveryLimits};

/// Seed of the random steps.
const SEED: u64 = 11;

const PACE: RecoveryLimits = RecoveryLimits { attempts_per_s: 100, burst: 5, max_concurrent: 3 };

#[test]
fn a_burst_is_followed_by_the_set_rate() {
    let mut pacer = RecoveryLimiter::new(RecoveryLimits { max_concurrent: 1_000, ..PACE });
    for _ in 0..200 {
        pacer.request();
    }
    let admitted: usize =
        (0..=1_000).map(|now_ms| std::iter::from_fn(|| pacer.admit(now_ms)).count()).sum();
    assert_eq!(admitted, 105);
}

#[test]
fn tickets_are_admitted_in_order_within_the_bounds() {
    fn property(steps: Vec<u8>) -> bool {
        let mut pacer = RecoveryLimiter::new(PACE);
        let (mut now_ms, mut requested, mut admitted) = (0, Vec::new(), Vec::new());
        for step in steps {
            match step % 4 {
                0 | 1 => requested.push(pacer.request()),
                2 => now_ms += u64::from(step),
                _ => {
                    if let Some(&ticket) = admitted.get(usize::from(step)) {
                        pacer.release(ticket);
                    }
                }
            }
            admitted.extend(std::iter::from_fn(|| pacer.admit(now_ms)));
            assert!(pacer.active() <= PACE.max_concurrent as usize);
            assert!(admitted.len() as u64 <= u64::from(PACE.burst) + now_ms / 10);
        }
        while pacer.waiting() > 0 {
            now_ms += 10;
            admitted.iter().for_each(|&ticket| pacer.release(ticket));
            admitted.extend(std::iter::from_fn(|| pacer.admit(now_ms)));
        }
        admitted == requested
    }
    let generator = Gen::from_size_and_seed(200, SEED);
    QuickCheck::new().rng(generator).tests(300).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_waiting_ticket_passes_at_its_earliest_time() {
    let mut pacer = RecoveryLimiter::new(RecoveryLimits { max_concurrent: 1_000, ..PACE });
    let tickets: Vec<_> = (0..10).map(|_| pacer.request()).collect();
    while pacer.admit(0).is_some() {}
    let earliest_ms = pacer.earliest_ms(tickets[9], 0).unwrap();
    let before = std::iter::from_fn(|| pacer.admit(earliest_ms - 1)).count();
    let at_last = std::iter::from_fn(|| pacer.admit(earliest_ms)).last();
    assert_eq!((before, at_last), (4, Some(tickets[9])));
}
