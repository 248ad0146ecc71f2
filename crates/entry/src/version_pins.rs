//! Counts of the running generations that are pinned to each model version.

use crate::pin_guard::PinGuard;
use base::{HashMap, HashSet, ModelName, VersionName, lock};
use std::sync::{Arc, Mutex, MutexGuard};

/// Model and version that a generation is pinned to.
pub(crate) type PinnedVersion = (ModelName, VersionName);

/// Number of running generations of each model version that has any.
#[derive(Debug, Default)]
pub(crate) struct VersionPins {
    counts: Mutex<HashMap<PinnedVersion, u32>>,
}

impl VersionPins {
    /// Counts a generation of a model version until the returned guard is dropped; `None` if the name of the model or
    /// of the version is not valid.
    pub fn pin(self: &Arc<Self>, model: &str, version: &str) -> Option<PinGuard> {
        let pin = (ModelName::try_from(model).ok()?, VersionName::try_from(version).ok()?);
        *self.lock().entry(pin.clone()).or_default() += 1;
        Some(PinGuard::new(Arc::clone(self), pin))
    }

    /// Removes one generation from the count of a model version.
    pub fn release(&self, pin: &PinnedVersion) {
        let mut counts = self.lock();
        if let Some(count) = counts.get_mut(pin) {
            *count -= 1;
            if *count == 0 {
                counts.remove(pin);
            }
        }
    }

    /// Model versions with running generations.
    pub fn pinned(&self) -> HashSet<PinnedVersion> {
        self.lock().keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PinnedVersion, u32>> {
        lock(&self.counts)
    }
}
