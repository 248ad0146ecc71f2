//! Guards against queues that grow, keep requests past their deadline, or give the reserve for short requests away.

use limit::{AdmissionDecision, AdmissionQueue, AdmissionQueueLimits, Class};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const LIMITS: AdmissionQueueLimits =
    AdmissionQueueLimits { max_running: 6, short_reserve: 2, max_waiting: 4, max_wait_ms: 100 };

/// Checker with a fixed seed, so that every run tries the same cases.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1))
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer(Class),
    End(Class),
    Abandon(usize),
    Pass(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let class = *g.choose(&Class::ALL).unwrap();
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Offer(class),
            4 | 5 => Self::End(class),
            6 => Self::Abandon(usize::arbitrary(g) % 8),
            _ => Self::Pass(u64::arbitrary(g) % 60),
        }
    }
}

/// The same rules over plain lists of identifiers.
#[derive(Default)]
struct Oracle {
    running: Vec<Class>,
    waiting: Vec<(u64, Class, u64)>,
}

impl Oracle {
    fn has_room(&self, class: Class) -> bool {
        let others = self.running.iter().filter(|&&other| other != Class::Short).count();
        self.running.len() < 6 && (class == Class::Short || others < 4)
    }

    fn offer(&mut self, id: u64, class: Class, now_ms: u64) -> AdmissionDecision {
        let ahead = self.waiting.iter().filter(|(_, other, _)| *other == class).count();
        if ahead == 0 && self.has_room(class) {
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
                } else if self.has_room(class) {
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

/// Fails if the queue differs from the plain rules: bounds, deadlines, order of classes, reserve.
#[test]
fn the_queue_follows_the_plain_rules() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut queue = AdmissionQueue::new(LIMITS);
        let mut oracle = Oracle::default();
        let mut now_ms = 0;
        for (id, step) in (0_u64..).zip(steps) {
            match step {
                Step::Offer(class) => {
                    if queue.offer(id, class, now_ms) != oracle.offer(id, class, now_ms) {
                        return false;
                    }
                }
                Step::End(class) => {
                    if let Some(at) = oracle.running.iter().position(|&other| other == class) {
                        oracle.running.remove(at);
                        queue.release(class);
                    }
                }
                Step::Abandon(at) => {
                    if let Some(&(id, class, _)) = oracle.waiting.get(at) {
                        oracle.waiting.remove(at);
                        if !queue.cancel(id, class) {
                            return false;
                        }
                    }
                }
                Step::Pass(pass_ms) => now_ms += pass_ms,
            }
            let (mut admitted, mut expired) = (Vec::new(), Vec::new());
            queue.poll(now_ms, &mut admitted, &mut expired);
            if (admitted, expired) != oracle.poll(now_ms) {
                return false;
            }
            let counts_agree = Class::ALL.into_iter().all(|class| {
                let running = oracle.running.iter().filter(|&&other| other == class).count();
                let waiting = oracle.waiting.iter().filter(|(_, other, _)| *other == class).count();
                queue.running(class) as usize == running && queue.waiting(class) == waiting
            });
            if !counts_agree {
                return false;
            }
        }
        true
    }
    seeded().tests(2_000).quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Fails if long and recovery work can keep short requests from running.
#[test]
fn short_requests_are_admitted_under_any_amount_of_other_work() {
    let mut queue = AdmissionQueue::new(LIMITS);
    for id in 0..100 {
        queue.offer(id, if id % 2 == 0 { Class::Long } else { Class::Recovery }, 0);
    }
    assert_eq!(queue.offer(100, Class::Short, 0), AdmissionDecision::Admitted);
    assert_eq!(queue.offer(101, Class::Short, 0), AdmissionDecision::Admitted);
}

/// Fails if the loss of engines, which lowers the bound below what runs, locks short requests out.
#[test]
fn the_reserve_holds_when_the_bound_falls_below_what_runs() {
    let mut queue = AdmissionQueue::new(LIMITS);
    (0..4).for_each(|id| assert_eq!(queue.offer(id, Class::Long, 0), AdmissionDecision::Admitted));
    queue.set_limits(AdmissionQueueLimits { max_running: 3, short_reserve: 1, ..LIMITS });
    assert_eq!(queue.offer(4, Class::Short, 0), AdmissionDecision::Admitted);
    assert_eq!(queue.offer(5, Class::Short, 0), AdmissionDecision::Queued { deadline_ms: 100 });
}
