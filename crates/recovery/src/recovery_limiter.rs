//! Admission of recovery attempts.

use crate::recovery_limits::RecoveryLimits;
use std::collections::VecDeque;

/// Parts of the bucket that one attempt takes; whole parts keep the rate exact.
const PARTS_PER_ATTEMPT: u64 = 1_000;

/// Request for admission of one recovery attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ticket(u64);

/// Token bucket and bound on concurrency for the recovery attempts of one service.
///
/// Tickets are admitted in the order of their requests, so none starves.
#[derive(Clone, Debug)]
pub struct RecoveryLimiter {
    pace: RecoveryLimits,
    last_ticket: u64,
    parts: u64,
    filled_ms: u64,
    active: Vec<Ticket>,
    waiting: VecDeque<Ticket>,
}

impl RecoveryLimiter {
    /// RecoveryLimiter with a full bucket.
    pub fn new(pace: RecoveryLimits) -> Self {
        Self {
            pace,
            last_ticket: 0,
            parts: u64::from(pace.burst.max(1)) * PARTS_PER_ATTEMPT,
            filled_ms: 0,
            active: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Adds a request for admission at the end of the queue.
    pub fn request(&mut self) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.waiting.push_back(ticket);
        ticket
    }

    /// Ends an admitted attempt, or takes a request back.
    pub fn release(&mut self, ticket: Ticket) {
        self.active.retain(|&active| active != ticket);
        self.waiting.retain(|&waiting| waiting != ticket);
    }

    /// Admits the next ticket if the bounds allow it. Call it until it returns none.
    pub fn admit(&mut self, now_ms: u64) -> Option<Ticket> {
        self.fill(now_ms);
        if self.parts < PARTS_PER_ATTEMPT || self.active.len() >= self.pace.max_concurrent as usize
        {
            return None;
        }
        let ticket = self.waiting.pop_front()?;
        self.parts -= PARTS_PER_ATTEMPT;
        self.active.push(ticket);
        Some(ticket)
    }

    /// Time at which the bucket lets a waiting ticket pass, if all before it are admitted as early as possible.
    pub fn earliest_ms(&self, ticket: Ticket, now_ms: u64) -> Option<u64> {
        let position = self.waiting.iter().position(|&waiting| waiting == ticket)?;
        let missing = ((position as u64 + 1) * PARTS_PER_ATTEMPT).saturating_sub(self.parts);
        let wait_ms = missing.div_ceil(u64::from(self.pace.attempts_per_s.max(1)));
        Some(now_ms.saturating_add(wait_ms))
    }

    /// Attempts that are admitted now.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn fill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        // A thousandth of an attempt for each attempt a second and millisecond.
        let gained = elapsed_ms.saturating_mul(u64::from(self.pace.attempts_per_s));
        let full = u64::from(self.pace.burst.max(1)) * PARTS_PER_ATTEMPT;
        self.parts = self.parts.saturating_add(gained).min(full);
        self.filled_ms = self.filled_ms.max(now_ms);
    }
}
