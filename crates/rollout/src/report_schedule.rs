//! When a daemon reports to the judges of a rollout.

/// Shortest time between two reports after answers of the target version.
const URGENT_REPORT_MS: u64 = 50;

/// When a daemon reports to the judges of a rollout.
#[derive(Debug)]
pub(crate) struct ReportSchedule {
    interval_ms: u64,
    sent_ms: Option<u64>,
    is_urgent: bool,
}

impl ReportSchedule {
    /// Creates a schedule in which the first report is due, and later ones after `interval_ms` if nothing is urgent.
    pub fn new(interval_ms: u64) -> Self {
        Self { interval_ms, sent_ms: None, is_urgent: false }
    }

    /// Takes note of an urgent answer.
    pub fn mark_urgent(&mut self) {
        self.is_urgent = true;
    }

    /// Whether a report is due.
    pub fn is_due(&self, now_ms: u64) -> bool {
        let interval_ms = if self.is_urgent { URGENT_REPORT_MS } else { self.interval_ms };
        self.sent_ms.is_none_or(|at_ms| now_ms >= at_ms + interval_ms)
    }

    /// Records that the due report was sent.
    pub fn mark_sent(&mut self, now_ms: u64) {
        self.sent_ms = Some(now_ms);
        self.is_urgent = false;
    }
}
