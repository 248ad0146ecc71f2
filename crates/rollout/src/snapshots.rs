//! Earlier totals of a rollout, for the comparison with the present ones.

use crate::totals::Totals;
use std::collections::VecDeque;

/// Time between two states of the last seconds.
const STEP_MS: u64 = 500;

/// Number of states of the last seconds. The oldest of `PERIODS` needs the most.
const STEPS: usize = 12;

/// Ages of the states since which the answers are tested as well, in numbers of states. A version may become bad some
/// seconds after its start.
const PERIODS: [usize; 3] = [4, 7, 10];

/// Shortest period whose answers must be good on their own, and as a part of the order's duration.
const RECENT_MS: u64 = 4_000;
const RECENT_PART: f64 = 0.4;

/// Smallest number of answers of the target version in that period.
const RECENT_ANSWERS: u32 = 16;

/// Number of states that cover that period once.
const RECENT_STEPS: u64 = 40;

/// Number of states that are kept for that period. It is longer if it has too few answers.
const MAX_RECENT_STEPS: usize = 48;

/// Period over which the rate of requests is measured.
const RATE_MS: u64 = 1_000;

/// Earlier totals: of the last seconds in short steps, and of the period whose answers must be good on their own in steps
/// that follow from the duration of the order, so that their number does not.
#[derive(Debug)]
pub(crate) struct Snapshots {
    last: VecDeque<(u64, Totals)>,
    recent: VecDeque<(u64, Totals)>,
    recent_ms: u64,
}

impl Snapshots {
    /// Creates an empty series for an order of the given duration.
    pub fn new(duration_ms: u64) -> Self {
        let recent_ms = RECENT_MS.max((duration_ms as f64 * RECENT_PART) as u64);
        Self { last: VecDeque::new(), recent: VecDeque::new(), recent_ms }
    }

    /// Keeps the present totals if the last ones are old enough.
    pub fn push(&mut self, totals: &Totals, now_ms: u64) {
        keep(&mut self.last, STEP_MS, STEPS, totals, now_ms);
        let step_ms = STEP_MS.max(self.recent_ms / RECENT_STEPS);
        keep(&mut self.recent, step_ms, MAX_RECENT_STEPS, totals, now_ms);
    }

    /// Totals since which the answers are tested as well.
    pub fn tested(&self) -> impl Iterator<Item = &Totals> {
        let at = |states: &usize| self.last.len().checked_sub(*states);
        PERIODS.iter().filter_map(at).filter_map(|at| self.last.get(at)).map(|(_, totals)| totals)
    }

    /// Totals at the start of the last period whose answers must be good on their own. It is long enough to have some.
    pub fn recent(&self, totals: &Totals, now_ms: u64) -> Totals {
        let answers = totals.answers();
        let mut states = self.recent.iter().rev();
        let start = states.find(|(at_ms, earlier)| {
            at_ms + self.recent_ms <= now_ms && earlier.answers() + RECENT_ANSWERS <= answers
        });
        start.map(|(_, totals)| totals.clone()).unwrap_or_default()
    }

    /// Requests in a second by the last states; `None` before there are enough.
    pub fn rate_per_s(&self, totals: &Totals, now_ms: u64) -> Option<f64> {
        let mut states = self.last.iter().rev();
        let (at_ms, earlier) = states.find(|(at_ms, _)| at_ms + RATE_MS <= now_ms)?;
        let requests = f64::from(totals.requests()) - f64::from(earlier.requests());
        Some(requests * 1_000.0 / (now_ms - at_ms) as f64)
    }
}

fn keep(
    states: &mut VecDeque<(u64, Totals)>,
    step_ms: u64,
    max: usize,
    totals: &Totals,
    now_ms: u64,
) {
    if states.back().is_none_or(|(at_ms, _)| now_ms >= at_ms + step_ms) {
        states.push_back((now_ms, totals.clone()));
        if states.len() > max {
            states.pop_front();
        }
    }
}
