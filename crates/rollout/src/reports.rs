//! Reports of all daemons on a rollout.

use crate::{report::RolloutReport, totals::Totals};
use base::HashMap;

/// Largest number of daemon lifetimes whose reports are kept.
const MAX_REPORTS: usize = 4_096;

/// Reports of all daemons on a rollout.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    /// Last report of each daemon lifetime, with the time at which it arrived.
    last: HashMap<u64, (RolloutReport, u64)>,
    /// Counts of daemons before they began to count anew.
    earlier: Totals,
}

impl Reports {
    /// Keeps a report, unless a later one of the same daemon is known.
    pub fn merge(&mut self, report: RolloutReport, now_ms: u64) {
        let known = self.last.get(&report.lifetime);
        if known.is_some_and(|(known, _)| known.number >= report.number) {
            return;
        }
        if let Some((known, _)) = known
            && report.requests() < known.requests()
        {
            // The daemon has begun to count anew, because it regards the order as another one.
            self.earlier.add(&RolloutReport { old_running: 0, ..known.clone() });
        }
        if known.is_some() || self.last.len() < MAX_REPORTS {
            self.last.insert(report.lifetime, (report, now_ms));
        }
    }

    /// Number of daemons that have reported.
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// Number of daemons that have reported in the last `within_ms`.
    pub fn recent(&self, within_ms: u64, now_ms: u64) -> usize {
        self.last.values().filter(|(_, at_ms)| now_ms < at_ms + within_ms).count()
    }

    /// Sum of all reports.
    pub fn totals(&self) -> Totals {
        let mut totals = self.earlier.clone();
        for (report, _) in self.last.values() {
            totals.add(report);
        }
        totals
    }
}
