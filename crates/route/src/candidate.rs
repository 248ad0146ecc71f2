//! State of an upstream as the selection policies see it.

use crate::short_reserve::short_reserve;

/// Interval at which the other entries are assumed to send one more request to the upstream after its last report.
const UNSEEN_REQUEST_INTERVAL_MS: u64 = 400;

/// Additional weight of a request that this entry has sent since the last report.
///
/// `corrected_load` already counts the request once, so it weighs three in total and an entry fills at most a third of
/// the slots that a report shows as free. Other entries see the same slots as free.
const EXTRA_SENT_WEIGHT: u32 = 2;

/// Snapshot of an upstream at the time of a selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Number of requests of this entry that are in flight at the upstream.
    pub in_flight: u32,
    /// Load from the last report of the upstream, uncorrected. `None` without a report.
    pub reported_load: Option<u32>,
    /// Estimated current load: the last report, corrected by the change in this entry's in-flight count since then.
    pub corrected_load: u32,
    /// Age of the last report; 0 without a report.
    pub report_age_ms: u64,
    /// Growth of this entry's in-flight count since the last report; 0 if it shrank or without a report.
    pub sent_since_report: u32,
    /// Maximum number of requests that the upstream processes at a time.
    pub batch_limit: u32,
    /// Number of blocks of the context that are missing from the prefix cache of the upstream.
    pub missing_blocks: u32,
    /// Fraction of its normal load that the upstream may receive, from 0 (ejected) to 1.
    pub weight: f64,
    /// Whether the upstream is in the failure domain of this entry.
    pub is_local: bool,
    /// Whether the upstream serves the pinned version and adapter. `None` if that is not known.
    pub has_version: Option<bool>,
}

impl Candidate {
    /// Returns whether a request that is not short can be sent without using the slots reserved for short requests.
    ///
    /// Engines do not preempt a running sequence, so a full batch delays a short request whatever its priority is.
    pub fn has_unreserved_capacity(&self) -> bool {
        let limit = self.batch_limit.max(1);
        // Without this margin, all entries that hold the same stale report would fill the same free slot.
        let unseen =
            (self.report_age_ms / UNSEEN_REQUEST_INTERVAL_MS).min(u64::from(limit / 4)) as u32;
        let sent = self.sent_since_report.saturating_mul(EXTRA_SENT_WEIGHT);
        self.corrected_load.saturating_add(unseen).saturating_add(sent)
            < limit - short_reserve(self.batch_limit)
    }
}
