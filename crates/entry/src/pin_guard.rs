//! Guard that keeps the model version of a running generation pinned.

use crate::version_pins::{PinnedVersion, VersionPins};
use std::sync::Arc;

/// Counts one generation as pinned to its model version until the guard is dropped. The pin is released on drop,
/// because a generation also ends when its task is cancelled.
#[derive(Debug)]
pub(crate) struct PinGuard {
    pins: Arc<VersionPins>,
    pin: PinnedVersion,
}

impl PinGuard {
    pub fn new(pins: Arc<VersionPins>, pin: PinnedVersion) -> Self {
        Self { pins, pin }
    }
}

impl Drop for PinGuard {
    fn drop(&mut self) {
        self.pins.release(&self.pin);
    }
}
