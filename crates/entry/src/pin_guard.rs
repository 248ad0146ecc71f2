//! Pin of one running generation to its model version.

use crate::version_pins::{PinnedVersion, VersionPins};
use std::sync::Arc;

/// Counts one generation for as long as it lives. Released on drop, because a generation also ends by cancellation.
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
