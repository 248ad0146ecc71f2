//! Counts by which callers decide that the load ends before its full duration.

use crate::experiment::fault_injection::settings::FaultInjectionSettings;
use std::sync::atomic::{AtomicU64, Ordering};

/// Numbers of sent requests and injected failures, which the callers and the fault injection share.
#[derive(Debug, Default)]
pub(super) struct LoadProgress {
    /// Requests that all callers together have sent.
    pub sent: AtomicU64,
    /// Failures that have been injected into engines.
    pub failures: AtomicU64,
}

impl LoadProgress {
    /// Returns whether the load can end before its full duration: `settings.generations` requests have been sent and
    /// `settings.failures` failures injected. Returns false if `settings.generations` is 0.
    pub fn is_finished(&self, settings: &FaultInjectionSettings) -> bool {
        settings.generations > 0
            && self.sent.load(Ordering::Relaxed) >= settings.generations
            && self.failures.load(Ordering::Relaxed) >= settings.failures
    }
}
