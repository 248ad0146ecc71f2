//! Tests that admission queues are bounded, respect deadlines and keep the reserve for short requests.

use limit::{AdmissionDecision, AdmissionQueue, AdmissionQueueLimits, Class};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const LIMITS: AdmissionQueueLimits =
    AdmissionQueueLimits { max_running: 6, short_reserve: 2, max_waiting: 4, max_wait_ms: 100 };

/// Returns a checker with a fixed seed, so that every test run tries the same cases.
fn seeded_checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1))
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A request of this class is offered.
    Offer(Class),
    /// A running request of this class ends, if there is one.
    Release(Class),
    /// The waiting request at this position is cancelled, if there is one.
    Cancel(usize),
    /// Time passes, in milliseconds.
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let class = *g.choose(&Class::ALL).unwrap();
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Offer(class),
            4 | 5 => Self::Release(class),
            6 => Self::Cancel(usize::arbitrary(g) % 8),
            _ => Self::Wait(u64::arbitrary(g) % 60),
        }
    }
}

/// Reference implementation of the queue with plain lists.
#[derive(Default)]
struct ReferenceQueue {
    running: Vec<Class>,
    /// Identifier, class and deadline in milliseconds of each waiting request, oldest first within a class.
    waiting: Vec<(u64, Class, u64)>,
}

impl ReferenceQueue {
    fn has_capacity(&self, class: Class) -> bool {
        let not_short = self.running.iter().filter(|&&other| other != Class::Short).count();
        self.running.len() < 6 && (class == Class::Short || not_short < 4)
    }

    fn offer(&mut self, id: u64, class: Class, now_ms: u64) -> AdmissionDecision {
        let ahead = self.waiting.iter().filter(|(_, other, _)| *other == class).count();
        if ahead == 0 && self.has_capacity(class) {
            self.running.push(class);
            return AdmissionDecision::Admitted;
        }
        if ahead == 4 {
            return AdmissionDecision::Rejected;
        }
        self.waiting.push((id, class, now_ms + 100));
        AdmissionDecision::Queued { deadline_ms: now_ms + 100 }
    }

    fn poll(&mut self, now_ms: u64) -> (Vec<u64>, Vec<u64>) {
        let (mut admitted, mut expired) = (Vec::new(), Vec::new());
        for class in Class::ALL {
            for (id, other, deadline_ms) in std::mem::take(&mut self.waiting) {
                if other != class {
                    self.waiting.push((id, other, deadline_ms));
                } else if deadline_ms <= now_ms {
                    expired.push(id);
                } else if self.has_capacity(class) {
                    self.running.push(class);
                    admitted.push(id);
                } else {
                    self.waiting.push((id, other, deadline_ms));
                }
            }
        }
        (admitted, expired)
    }
}

/// Fails if the queue differs from the reference in its limits, deadlines, order of classes or reserve.
#[test]
fn queue_matches_the_reference() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut queue = AdmissionQueue::new(LIMITS);
        let mut reference = ReferenceQueue::default();
        let mut now_ms = 0;
        for (id, step) in (0_u64..).zip(steps) {
            match step {
                Step::Offer(class) => {
                    if queue.offer(id, class, now_ms) != reference.offer(id, class, now_ms) {
                        return false;
                    }
                }
                Step::Release(class) => {
                    if let Some(at) = reference.running.iter().position(|&other| other == class) {
                        reference.running.remove(at);
                        queue.release(class);
                    }
                }
                Step::Cancel(at) => {
                    if let Some(&(id, class, _)) = reference.waiting.get(at) {
                        reference.waiting.remove(at);
                        if !queue.cancel(id, class) {
                            return false;
                        }
                    }
                }
                Step::Wait(wait_ms) => now_ms += wait_ms,
            }
            let (mut admitted, mut expired) = (Vec::new(), Vec::new());
            queue.poll(now_ms, &mut admitted, &mut expired);
            if (admitted, expired) != reference.poll(now_ms) {
                return false;
            }
            let counts_agree = Class::ALL.into_iter().all(|class| {
                let running = reference.running.iter().filter(|&&other| other == class).count();
                let waiting =
                    reference.waiting.iter().filter(|(_, other, _)| *other == class).count();
                queue.running(class) as usize == running && queue.waiting(class) == waiting
            });
            if !counts_agree {
                return false;
            }
        }
        true
    }
    seeded_checker().tests(2_000).quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Fails if long and recovery requests can prevent short requests from running.
#[test]
fn short_requests_are_admitted_under_load_of_other_classes() {
    let mut queue = AdmissionQueue::new(LIMITS);
    for id in 0..100 {
        queue.offer(id, if id % 2 == 0 { Class::Long } else { Class::Recovery }, 0);
    }
    assert_eq!(queue.offer(100, Class::Short, 0), AdmissionDecision::Admitted);
    assert_eq!(queue.offer(101, Class::Short, 0), AdmissionDecision::Admitted);
}

/// Fails if short requests are blocked after a loss of engines, which lowers the limit below the number of running
/// requests.
#[test]
fn reserve_holds_when_the_limit_falls_below_the_running_requests() {
    let mut queue = AdmissionQueue::new(LIMITS);
    (0..4).for_each(|id| assert_eq!(queue.offer(id, Class::Long, 0), AdmissionDecision::Admitted));
    queue.set_limits(AdmissionQueueLimits { max_running: 3, short_reserve: 1, ..LIMITS });
    assert_eq!(queue.offer(4, Class::Short, 0), AdmissionDecision::Admitted);
    assert_eq!(queue.offer(5, Class::Short, 0), AdmissionDecision::Queued { deadline_ms: 100 });
}
