//! Retry budget of a service: the number of retries that a daemon may send.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of slices of the sliding window. Requests and retries leave the window one slice at a time.
const SLICES: u64 = 100;

/// Fraction of the limits that retries may use. The rest covers requests that leave the window one slice too late.
const SPENDABLE_SHARE: f64 = 0.9;

/// Fraction of the spendable budget that is reserved for urgent retries, for the requests in the second half of the
/// window. What older requests have left over would be lost with them, so late retries may use it.
const URGENT_SHARE: f64 = 0.3;

/// Urgency of a retry: whether its answer can still be in time for the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Urgency {
    /// The answer is already late, so the retry may be delayed.
    Late,
    /// The answer can still be in time.
    Urgent,
}

/// Limits on the retries that the whole fleet may send to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window, whatever the number of requests.
    pub slack: f64,
    /// Length of the sliding window. The limits hold for any window of this length.
    pub window_ms: u64,
}

/// Retry budget of one service at one daemon.
///
/// Each daemon spends only what its own requests in the window allow, plus its share of the slack. So the fleet stays
/// within the limits without a message for each request.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    /// Slices of the window in which something was counted, oldest first.
    slices: VecDeque<Slice>,
}

/// Counts of one slice of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    /// Start of the slice, in multiples of its length.
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates a budget without counted requests.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, slices: VecDeque::new() }
    }

    /// Counts a request of a caller, which adds `RetryBudgetLimits::ratio` retries to the budget.
    pub fn deposit(&mut self, now_ms: u64) {
        self.slice(now_ms).requests += 1;
    }

    /// Withdraws a retry from the budget, and returns whether the budget allowed it. The slack is divided among
    /// `daemons` daemons.
    ///
    /// A fraction of the budget is reserved for urgent retries. Otherwise, while the budget is nearly exhausted, the
    /// retry of an answer that is already late would make another answer late.
    pub fn try_withdraw(&mut self, daemons: usize, urgency: Urgency, now_ms: u64) -> bool {
        self.slice(now_ms);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let slack = self.limits.slack / daemons.max(1) as f64;
        let budget = |requests: u32| f64::from(requests) * self.limits.ratio + slack;
        let reserved = match urgency {
            Urgency::Late => budget(self.recent_requests(now_ms)) * URGENT_SHARE,
            Urgency::Urgent => 0.0,
        };
        let allowed = (budget(requests) - reserved) * SPENDABLE_SHARE;
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.slice(now_ms).retries += 1;
        true
    }

    /// Number of requests in the second half of the window.
    fn recent_requests(&self, now_ms: u64) -> u32 {
        let number = self.slice_number(now_ms);
        let is_recent = |slice: &&Slice| slice.number + SLICES / 2 > number;
        let recent = self.slices.iter().rev().take_while(is_recent);
        recent.map(|slice| slice.requests).sum()
    }

    /// Returns to the budget a retry that was withdrawn but not sent.
    pub fn refund(&mut self, now_ms: u64) {
        self.slice(now_ms);
        // The retry may have been withdrawn in an earlier slice.
        if let Some(slice) = self.slices.iter_mut().rev().find(|slice| slice.retries > 0) {
            slice.retries -= 1;
        }
    }

    fn slice_number(&self, now_ms: u64) -> u64 {
        now_ms / (self.limits.window_ms / SLICES).max(1)
    }

    /// Returns the slice of `now_ms`, and removes slices that have left the window.
    fn slice(&mut self, now_ms: u64) -> &mut Slice {
        let number = self.slice_number(now_ms);
        while self.slices.front().is_some_and(|slice| slice.number + SLICES < number) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice { number, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
