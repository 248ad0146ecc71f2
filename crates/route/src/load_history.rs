//! History of the in-flight count at an upstream, from which stale load reports are corrected.

use crate::load_report::LoadReport;
use std::collections::VecDeque;

/// Resolution of the history. Only the last count of each interval is kept.
const STEP_MS: u64 = 10;

/// Maximum number of steps in the history. They cover 2.56 s if the count changes in each step. For a report that is
/// older than all steps, the count of the oldest step is used.
const MAX_STEPS: usize = 256;

/// Age of a report beyond which the load from other entries counts as unknown.
const MAX_REPORT_AGE_MS: u64 = 10_000;

/// In-flight count of this entry at an upstream, its recent history, and the last load report of the upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    in_flight: u32,
    /// Start of each step in milliseconds and in-flight count at its end, oldest first. Steps without a change are left
    /// out.
    steps: VecDeque<(u64, u32)>,
    report: Option<LoadReport>,
}

impl LoadHistory {
    /// Records that a request was sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.set(now_ms, self.in_flight.saturating_add(1));
    }

    /// Records that a request ended, whatever its outcome.
    pub fn record_ended(&mut self, now_ms: u64) {
        self.set(now_ms, self.in_flight.saturating_sub(1));
    }

    /// Replaces the last report, unless `report` is older.
    pub fn record_report(&mut self, report: LoadReport) {
        if self.report.is_none_or(|last| last.at_ms <= report.at_ms) {
            self.report = Some(report);
        }
    }

    /// Returns the number of requests of this entry that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the last load report of the upstream; `None` before the first one.
    pub fn report(&self) -> Option<LoadReport> {
        self.report
    }

    /// Returns the growth of this entry's in-flight count since the last report; 0 if it shrank or without a report.
    pub fn sent_since_report(&self) -> u32 {
        self.report
            .map_or(0, |report| self.in_flight.saturating_sub(self.in_flight_at(report.at_ms)))
    }

    /// Returns the number of requests of other entries at the time of the last report; 0 without a report, or if the
    /// report is older than `MAX_REPORT_AGE_MS`.
    pub fn other_requests(&self, now_ms: u64) -> u32 {
        let is_fresh =
            |report: &LoadReport| now_ms.saturating_sub(report.at_ms) <= MAX_REPORT_AGE_MS;
        let report = self.report.filter(is_fresh);
        report.map_or(0, |report| report.requests.saturating_sub(self.in_flight_at(report.at_ms)))
    }

    /// Returns the estimated current load: the last report, plus the requests that this entry has sent since then,
    /// minus those that have ended.
    pub fn corrected_load(&self, now_ms: u64) -> u32 {
        self.in_flight.saturating_add(self.other_requests(now_ms))
    }

    /// Returns the in-flight count at a time in the past.
    fn in_flight_at(&self, at_ms: u64) -> u32 {
        let step = self.steps.iter().rev().find(|(step_ms, _)| *step_ms <= at_ms);
        match (step, self.steps.front()) {
            (Some(&(_, count)), _) => count,
            // Steps were dropped only if the history is full; otherwise there was no request before the first step.
            (None, Some(&(_, count))) if self.steps.len() == MAX_STEPS => count,
            (None, _) => 0,
        }
    }

    /// Sets the in-flight count and adds it to the history, or replaces the count of the current step.
    fn set(&mut self, now_ms: u64, in_flight: u32) {
        self.in_flight = in_flight;
        let step_ms = now_ms - now_ms % STEP_MS;
        match self.steps.back_mut() {
            Some((last_ms, count)) if *last_ms >= step_ms => *count = in_flight,
            _ => {
                if self.steps.len() == MAX_STEPS {
                    self.steps.pop_front();
                }
                self.steps.push_back((step_ms, in_flight));
            }
        }
    }
}
