//! In-flight count of one upstream over time, and the load corrected by it.

use crate::load_report::LoadReport;
use std::collections::VecDeque;

/// Changes within this time are kept as one.
const STEP_MS: u64 = 10;

/// Steps that are kept: 2.56 s of constant change. For a report from before them the oldest one is used.
const STEPS: usize = 256;

/// Age of a report beyond which other entries' load at the upstream is taken as unknown.
const REPORT_AGE_LIMIT_MS: u64 = 10_000;

/// Exact in-flight count of this entry at an upstream, with its recent past and the last report.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    in_flight: u32,
    /// Count after the last change in each step, oldest first.
    steps: VecDeque<(u64, u32)>,
    report: Option<LoadReport>,
}

impl LoadHistory {
    /// Counts a request that is sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.set(now_ms, self.in_flight.saturating_add(1));
    }

    /// Counts a request that ended.
    pub fn record_ended(&mut self, now_ms: u64) {
        self.set(now_ms, self.in_flight.saturating_sub(1));
    }

    /// Takes over a report unless it is older than the last one.
    pub fn record_report(&mut self, report: LoadReport) {
        if self.report.is_none_or(|last| last.at_ms <= report.at_ms) {
            self.report = Some(report);
        }
    }

    /// Requests of this entry in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The last report.
    pub fn report(&self) -> Option<LoadReport> {
        self.report
    }

    /// Growth of this entry's in-flight count since the report; 0 without a report.
    pub fn sent_since_report(&self) -> u32 {
        self.report
            .map_or(0, |report| self.in_flight.saturating_sub(self.in_flight_at(report.at_ms)))
    }

    /// Requests of other entries by the last report; 0 if it is too old or missing.
    pub fn other_requests(&self, now_ms: u64) -> u32 {
        let is_fresh =
            |report: &LoadReport| now_ms.saturating_sub(report.at_ms) <= REPORT_AGE_LIMIT_MS;
        let report = self.report.filter(is_fresh);
        report.map_or(0, |report| report.requests.saturating_sub(self.in_flight_at(report.at_ms)))
    }

    /// Load now: the report, plus what was sent since its time, minus what ended.
    pub fn corrected_load(&self, now_ms: u64) -> u32 {
        self.in_flight.saturating_add(self.other_requests(now_ms))
    }

    fn in_flight_at(&self, at_ms: u64) -> u32 {
        let past = self.steps.iter().rev().find(|(step_ms, _)| *step_ms <= at_ms);
        match (past, self.steps.front()) {
            (Some(&(_, count)), _) => count,
            // The past was forgotten only if the ring is full; otherwise there was no request before the first step.
            (None, Some(&(_, count))) if self.steps.len() == STEPS => count,
            (None, _) => 0,
        }
    }

    fn set(&mut self, now_ms: u64, in_flight: u32) {
        self.in_flight = in_flight;
        let step_ms = now_ms - now_ms % STEP_MS;
        match self.steps.back_mut() {
            Some((last_ms, count)) if *last_ms >= step_ms => *count = in_flight,
            _ => {
                if self.steps.len() == STEPS {
                    self.steps.pop_front();
                }
                self.steps.push_back((step_ms, in_flight));
            }
        }
    }
}
