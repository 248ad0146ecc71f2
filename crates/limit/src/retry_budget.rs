//! Budget of second and later sends to a service.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Parts of the window. Whole parts leave the window at a time.
const PARTS: u64 = 100;

/// Share of the bounds that is spent. The rest covers requests that leave the window a part too late.
const SPENT_SHARE: f64 = 0.9;

/// Share of the bounds that is left for urgent repeats.
const URGENT_SHARE: f64 = 0.3;

/// Whether the caller still gains from a repeat that is sent now.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Urgency {
    /// The answer is late already, so the repeat may wait.
    Late,
    /// The answer can still be in time.
    Urgent,
}

/// Bounds of the repeats that the whole fleet may send to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window that are allowed besides.
    pub slack: f64,
    /// Length of the window, which may begin at any moment.
    pub window_ms: u64,
}

/// Budget of repeats for one service at one daemon.
///
/// Each daemon spends only what its own requests of the window allow and its part of the slack, so the fleet keeps its
/// bounds without a message for each request.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rules: RetryBudgetLimits,
    parts: VecDeque<Part>,
}

/// Counts of one part of the window.
#[derive(Clone, Copy, Debug)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// A budget that has seen no request.
    pub fn new(rules: RetryBudgetLimits) -> Self {
        Self { rules, parts: VecDeque::new() }
    }

    /// Counts a request of a caller.
    pub fn deposit(&mut self, now_ms: u64) {
        self.part(now_ms).requests += 1;
    }

    /// Takes a repeat from the budget; whether there was one. `daemons` share the slack.
    ///
    /// A part of the budget is left for urgent repeats: while the budget is short, an answer that is late already would
    /// otherwise make another one late.
    pub fn try_withdraw(&mut self, daemons: usize, urgency: Urgency, now_ms: u64) -> bool {
        self.part(now_ms);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        let share = match urgency {
            Urgency::Late => SPENT_SHARE * (1.0 - URGENT_SHARE),
            Urgency::Urgent => SPENT_SHARE,
        };
        let slack = self.rules.slack / daemons.max(1) as f64;
        let allowed = (f64::from(requests) * self.rules.ratio + slack) * share;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.part(now_ms).repeats += 1;
        true
    }

    /// Gives back a repeat that was not sent.
    pub fn refund(&mut self, now_ms: u64) {
        let part = self.part(now_ms);
        part.repeats = part.repeats.saturating_sub(1);
    }

    /// The part of `now_ms`; parts that have left the window are dropped.
    fn part(&mut self, now_ms: u64) -> &mut Part {
        let number = now_ms / (self.rules.window_ms / PARTS).max(1);
        while self.parts.front().is_some_and(|part| part.number + PARTS < number) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(Part { number, requests: 0, repeats: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
