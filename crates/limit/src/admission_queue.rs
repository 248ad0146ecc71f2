//! Bounded queue of one service with deadlines and a reserve for short requests.

use crate::{
    admission_decision::AdmissionDecision, admission_queue_limits::AdmissionQueueLimits,
    class::Class,
};
use std::collections::VecDeque;

/// Request that waits.
#[derive(Clone, Debug)]
struct Waiting {
    id: u64,
    deadline_ms: u64,
}

/// Requests of one service that run and wait at one entry.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limits: AdmissionQueueLimits,
    running: [u32; 3],
    waiting: [VecDeque<Waiting>; 3],
}

impl AdmissionQueue {
    /// An empty queue.
    pub fn new(limits: AdmissionQueueLimits) -> Self {
        Self { limits, running: [0; 3], waiting: Default::default() }
    }

    /// Changes the bounds. What runs or waits beyond them is left alone.
    pub fn set_limits(&mut self, limits: AdmissionQueueLimits) {
        self.limits = limits;
    }

    /// Offers the request `id`. It does not pass requests of its class that wait.
    pub fn offer(&mut self, id: u64, class: Class, now_ms: u64) -> AdmissionDecision {
        let waiting = &mut self.waiting[class as usize];
        if waiting.is_empty() && has_room(&self.limits, &self.running, class) {
            self.running[class as usize] += 1;
            return AdmissionDecision::Admitted;
        }
        if waiting.len() >= self.limits.max_waiting || self.limits.max_wait_ms == 0 {
            return AdmissionDecision::Rejected;
        }
        let deadline_ms = now_ms + self.limits.max_wait_ms;
        waiting.push_back(Waiting { id, deadline_ms });
        AdmissionDecision::Queued { deadline_ms }
    }

    /// Counts the end of an admitted request.
    pub fn release(&mut self, class: Class) {
        let running = &mut self.running[class as usize];
        *running = running.saturating_sub(1);
    }

    /// Removes a request that waits; whether it was there.
    pub fn cancel(&mut self, id: u64, class: Class) -> bool {
        let waiting = &mut self.waiting[class as usize];
        let before = waiting.len();
        waiting.retain(|request| request.id != id);
        waiting.len() < before
    }

    /// Drops requests whose deadline has passed and admits others while there is room. Admitted identifiers go to
    /// `admitted`, the others to `expired`.
    pub fn poll(&mut self, now_ms: u64, admitted: &mut Vec<u64>, expired: &mut Vec<u64>) {
        for class in Class::ALL {
            let waiting = &mut self.waiting[class as usize];
            while let Some(front) = waiting.pop_front_if(|front| front.deadline_ms <= now_ms) {
                expired.push(front.id);
            }
            while !waiting.is_empty() && has_room(&self.limits, &self.running, class) {
                admitted.extend(waiting.pop_front().map(|front| front.id));
                self.running[class as usize] += 1;
            }
        }
    }

    /// Admitted requests of a class that have not ended.
    pub fn running(&self, class: Class) -> u32 {
        self.running[class as usize]
    }

    /// Requests of a class that wait.
    pub fn waiting(&self, class: Class) -> usize {
        self.waiting[class as usize].len()
    }
}

/// Short requests may use every place, the others all but the reserve. Places that short requests use beyond the
/// reserve count against the others, so that the total stays within the bound. The reserve also holds when the bound
/// has fallen below what runs, as after a loss of engines.
fn has_room(limits: &AdmissionQueueLimits, running: &[u32; 3], class: Class) -> bool {
    let total: u32 = running.iter().sum();
    let others = total - running[Class::Short as usize];
    let is_within_reserve = others < limits.max_running.saturating_sub(limits.short_reserve);
    match class {
        Class::Short => {
            total < limits.max_running || running[Class::Short as usize] < limits.short_reserve
        }
        Class::Long | Class::Recovery => total < limits.max_running && is_within_reserve,
    }
}
