//! Progress of the load towards its early end.

use crate::experiment::fault_injection::settings::FaultInjectionSettings;
use std::sync::atomic::{AtomicU64, Ordering};

/// Numbers of requests and failures, which all callers share.
#[derive(Debug, Default)]
pub(super) struct LoadProgress {
    /// Requests that callers have sent.
    pub sent: AtomicU64,
    /// Failures that have been injected.
    pub failures: AtomicU64,
}

impl LoadProgress {
    /// Returns whether the numbers of generations and failures in `settings` are reached. Without a bound on
    /// generations the load ends by time only.
    pub fn is_finished(&self, settings: &FaultInjectionSettings) -> bool {
        settings.generations > 0
            && self.sent.load(Ordering::Relaxed) >= settings.generations
            && self.failures.load(Ordering::Relaxed) >= settings.failures
    }
}
