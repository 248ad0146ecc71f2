//! Guards against recovery attempts that overload the remaining engines, and against attempts that are never admitted.

use quickcheck::{Gen, QuickCheck};
use recovery::{RecoveryLimiter, RecoveryLimits};

/// Seed of the generated steps.
const SEED: u64 = 11;

const LIMITS: RecoveryLimits = RecoveryLimits { attempts_per_s: 100, burst: 5, max_concurrent: 3 };

#[test]
fn a_burst_is_followed_by_the_configured_rate() {
    let mut limiter = RecoveryLimiter::new(RecoveryLimits { max_concurrent: 1_000, ..LIMITS });
    for _ in 0..200 {
        limiter.request();
    }
    let admitted: usize =
        (0..=1_000).map(|now_ms| std::iter::from_fn(|| limiter.admit(now_ms)).count()).sum();
    assert_eq!(admitted, 105);
}

#[test]
fn tickets_are_admitted_in_order_within_the_limits() {
    fn property(steps: Vec<u8>) -> bool {
        let mut limiter = RecoveryLimiter::new(LIMITS);
        let (mut now_ms, mut requested, mut admitted) = (0, Vec::new(), Vec::new());
        for step in steps {
            match step % 4 {
                0 | 1 => requested.push(limiter.request()),
                2 => now_ms += u64::from(step),
                _ => {
                    if let Some(&ticket) = admitted.get(usize::from(step)) {
                        limiter.release(ticket);
                    }
                }
            }
            admitted.extend(std::iter::from_fn(|| limiter.admit(now_ms)));
            assert!(limiter.active() <= LIMITS.max_concurrent as usize);
            assert!(admitted.len() as u64 <= u64::from(LIMITS.burst) + now_ms / 10);
        }
        while limiter.waiting() > 0 {
            now_ms += 10;
            admitted.iter().for_each(|&ticket| limiter.release(ticket));
            admitted.extend(std::iter::from_fn(|| limiter.admit(now_ms)));
        }
        admitted == requested
    }
    let generator = Gen::from_size_and_seed(200, SEED);
    QuickCheck::new().rng(generator).tests(300).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_waiting_ticket_is_admitted_at_its_earliest_time() {
    let mut limiter = RecoveryLimiter::new(RecoveryLimits { max_concurrent: 1_000, ..LIMITS });
    let tickets: Vec<_> = (0..10).map(|_| limiter.request()).collect();
    while limiter.admit(0).is_some() {}
    let earliest_ms = limiter.earliest_ms(tickets[9], 0).unwrap();
    let earlier_count = std::iter::from_fn(|| limiter.admit(earliest_ms - 1)).count();
    let last_ticket = std::iter::from_fn(|| limiter.admit(earliest_ms)).last();
    assert_eq!((earlier_count, last_ticket), (4, Some(tickets[9])));
}
