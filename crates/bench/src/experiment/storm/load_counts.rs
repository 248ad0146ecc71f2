//! Counts that end the load of a storm.

use crate::experiment::storm::settings::StormSettings;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts that end the load of a storm.
#[derive(Debug, Default)]
pub(super) struct LoadCounts {
    pub asked: AtomicU64,
    pub failures: AtomicU64,
}

impl LoadCounts {
    /// Whether the bounds of `settings` are reached; never without a bound on generations.
    pub fn is_enough(&self, settings: &StormSettings) -> bool {
        settings.generations > 0
            && self.asked.load(Ordering::Relaxed) >= settings.generations
            && self.failures.load(Ordering::Relaxed) >= settings.failures
    }
}
