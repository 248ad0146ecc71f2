//! Admission control for recovery attempts.

use crate::recovery_limits::RecoveryLimits;
use std::collections::VecDeque;

/// Units of the token bucket that one attempt costs. Integer units of a thousandth keep the rate exact.
const UNITS_PER_ATTEMPT: u64 = 1_000;

/// Identifies one recovery attempt from its request for admission until its release.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ticket(u64);

/// Token bucket with a limit on concurrency for the recovery attempts of one service.
///
/// Tickets are admitted in first-in, first-out order, so that none starves.
#[derive(Clone, Debug)]
pub struct RecoveryLimiter {
    limits: RecoveryLimits,
    last_ticket: u64,
    /// Level of the token bucket, in `UNITS_PER_ATTEMPT` units for each attempt.
    units: u64,
    last_refill_ms: u64,
    /// Tickets that were admitted and not yet released.
    active: Vec<Ticket>,
    /// Tickets that wait for admission, oldest first.
    waiting: VecDeque<Ticket>,
}

impl RecoveryLimiter {
    /// Creates a limiter with a full token bucket.
    pub fn new(limits: RecoveryLimits) -> Self {
        Self {
            limits,
            last_ticket: 0,
            units: u64::from(limits.burst.max(1)) * UNITS_PER_ATTEMPT,
            last_refill_ms: 0,
            active: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Adds a recovery attempt to the end of the admission queue.
    pub fn request(&mut self) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.waiting.push_back(ticket);
        ticket
    }

    /// Frees the slot of an admitted attempt, or removes a waiting one from the queue.
    pub fn release(&mut self, ticket: Ticket) {
        self.active.retain(|&active| active != ticket);
        self.waiting.retain(|&waiting| waiting != ticket);
    }

    /// Admits the next ticket if the limits allow it. Callers repeat the call until it returns `None`.
    pub fn admit(&mut self, now_ms: u64) -> Option<Ticket> {
        self.refill(now_ms);
        if self.units < UNITS_PER_ATTEMPT
            || self.active.len() >= self.limits.max_concurrent as usize
        {
            return None;
        }
        let ticket = self.waiting.pop_front()?;
        self.units -= UNITS_PER_ATTEMPT;
        self.active.push(ticket);
        Some(ticket)
    }

    /// Earliest time at which the token bucket can admit a waiting ticket, if all tickets ahead of it are admitted as
    /// early as possible. `None` if the ticket is not in the queue.
    pub fn earliest_ms(&self, ticket: Ticket, now_ms: u64) -> Option<u64> {
        let position = self.waiting.iter().position(|&waiting| waiting == ticket)?;
        let missing = ((position as u64 + 1) * UNITS_PER_ATTEMPT).saturating_sub(self.units);
        let wait_ms = missing.div_ceil(u64::from(self.limits.attempts_per_s.max(1)));
        Some(now_ms.saturating_add(wait_ms))
    }

    /// Number of attempts that were admitted and not yet released.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Number of attempts in the admission queue.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_refill_ms);
        // A rate of one attempt a second adds a thousandth of an attempt, which is one unit, each millisecond.
        let added = elapsed_ms.saturating_mul(u64::from(self.limits.attempts_per_s));
        let capacity = u64::from(self.limits.burst.max(1)) * UNITS_PER_ATTEMPT;
        self.units = self.units.saturating_add(added).min(capacity);
        self.last_refill_ms = self.last_refill_ms.max(now_ms);
    }
}
