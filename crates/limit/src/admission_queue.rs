//! Bounded admission queue of one service, with deadlines and a reserve for short requests.

use crate::{
    admission_decision::AdmissionDecision, admission_queue_limits::AdmissionQueueLimits,
    class::Class,
};
use std::collections::VecDeque;

/// Request that waits for admission.
#[derive(Clone, Debug)]
struct WaitingRequest {
    id: u64,
    /// Time at which the request expires; it is removed from then on.
    deadline_ms: u64,
}

/// Running and waiting requests of one service at one entry.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limits: AdmissionQueueLimits,
    /// Number of running requests of each class.
    running: [u32; 3],
    /// Waiting requests of each class, oldest first.
    waiting: [VecDeque<WaitingRequest>; 3],
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(limits: AdmissionQueueLimits) -> Self {
        Self { limits, running: [0; 3], waiting: Default::default() }
    }

    /// Changes the limits. Requests that already run or wait keep their place, even if they exceed the new limits.
    pub fn set_limits(&mut self, limits: AdmissionQueueLimits) {
        self.limits = limits;
    }

    /// Admits, queues or rejects the request `id`. The request never overtakes a waiting request of its class.
    pub fn offer(&mut self, id: u64, class: Class, now_ms: u64) -> AdmissionDecision {
        let waiting = &mut self.waiting[class as usize];
        if waiting.is_empty() && has_capacity(&self.limits, &self.running, class) {
            self.running[class as usize] += 1;
            return AdmissionDecision::Admitted;
        }
        if waiting.len() >= self.limits.max_waiting || self.limits.max_wait_ms == 0 {
            return AdmissionDecision::Rejected;
        }
        let deadline_ms = now_ms + self.limits.max_wait_ms;
        waiting.push_back(WaitingRequest { id, deadline_ms });
        AdmissionDecision::Queued { deadline_ms }
    }

    /// Releases the slot of an admitted request that has ended.
    pub fn release(&mut self, class: Class) {
        let running = &mut self.running[class as usize];
        *running = running.saturating_sub(1);
    }

    /// Removes a waiting request, and returns whether it was in the queue.
    pub fn cancel(&mut self, id: u64, class: Class) -> bool {
        let waiting = &mut self.waiting[class as usize];
        let len_before = waiting.len();
        waiting.retain(|request| request.id != id);
        waiting.len() < len_before
    }

    /// Removes requests whose deadline has passed, and admits others while there is capacity, in the order of the
    /// classes. The identifiers of the admitted requests are appended to `admitted`, the removed ones to `expired`.
    pub fn poll(&mut self, now_ms: u64, admitted: &mut Vec<u64>, expired: &mut Vec<u64>) {
        for class in Class::ALL {
            let waiting = &mut self.waiting[class as usize];
            while let Some(front) = waiting.pop_front_if(|front| front.deadline_ms <= now_ms) {
                expired.push(front.id);
            }
            while !waiting.is_empty() && has_capacity(&self.limits, &self.running, class) {
                admitted.extend(waiting.pop_front().map(|front| front.id));
                self.running[class as usize] += 1;
            }
        }
    }

    /// Returns the number of running requests of a class.
    pub fn running(&self, class: Class) -> u32 {
        self.running[class as usize]
    }

    /// Returns the number of waiting requests of a class.
    pub fn waiting(&self, class: Class) -> usize {
        self.waiting[class as usize].len()
    }
}

/// Returns whether another request of a class may be admitted.
///
/// Short requests may use all slots, the others all but the reserve. Slots that short requests use beyond the reserve
/// are not free for the others, so the total stays within the limit. The reserve is also kept while more requests run
/// than the limit allows, for example after engines were lost.
fn has_capacity(limits: &AdmissionQueueLimits, running: &[u32; 3], class: Class) -> bool {
    let total: u32 = running.iter().sum();
    let not_short = total - running[Class::Short as usize];
    let leaves_reserve = not_short < limits.max_running.saturating_sub(limits.short_reserve);
    match class {
        Class::Short => {
            total < limits.max_running || running[Class::Short as usize] < limits.short_reserve
        }
        Class::Long | Class::Recovery => total < limits.max_running && leaves_reserve,
    }
}
