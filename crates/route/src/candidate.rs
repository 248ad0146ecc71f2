//! Upstream that may be chosen.

use crate::short_reserve::short_reserve;

/// Age of a report in which other entries are taken to send one request more to the upstream.
const STALE_STEP_MS: u64 = 400;

/// Times that an entry counts the requests that it sent since the report, besides the one in `corrected_load`: it takes a
/// third of the places that a report shows open, since other entries see the same places.
const SENT_FACTOR: u32 = 2;

/// What is known of an upstream at the time of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests of this entry that are in flight there.
    pub in_flight: u32,
    /// Load that the upstream reported last, uncorrected; `None` without a report.
    pub reported_load: Option<u32>,
    /// Load now: the report corrected by what this entry sent since.
    pub corrected_load: u32,
    /// Age of the report; 0 without a report.
    pub report_age_ms: u64,
    /// Growth of this entry's in-flight count since the report.
    pub sent_since_report: u32,
    /// Requests that it serves at a time.
    pub batch_limit: u32,
    /// Blocks of the context that its prefix cache lacks.
    pub missing_blocks: u32,
    /// Share of the usual load, from 0 while ejected to 1.
    pub weight: f64,
    /// Whether it is in this entry's failure domain.
    pub is_local: bool,
    /// Whether it serves the pinned version and adapter; `None` if that is not known.
    pub has_version: Option<bool>,
}

impl Candidate {
    /// Whether work that is not short may be sent there without taking the reserve for short requests. A running
    /// sequence is not preempted, so a full batch delays a short request whatever its priority is.
    pub fn has_unreserved_capacity(&self) -> bool {
        let limit = self.batch_limit.max(1);
        // Entries with the same old report would otherwise all take the same open place.
        let unseen = (self.report_age_ms / STALE_STEP_MS).min(u64::from(limit / 4)) as u32;
        let sent = self.sent_since_report.saturating_mul(SENT_FACTOR);
        self.corrected_load.saturating_add(unseen).saturating_add(sent)
            < limit - short_reserve(self.batch_limit)
    }
}
