//! Pin of one running generation.

use crate::pins::{Pin, Pins};
use std::sync::Arc;

/// Counts one generation for as long as it lives. Released on drop, because a generation also ends by cancellation.
#[derive(Debug)]
pub(crate) struct PinGuard {
    pins: Arc<Pins>,
    pin: Pin,
}

impl PinGuard {
    pub fn new(pins: Arc<Pins>, pin: Pin) -> Self {
        Self { pins, pin }
    }
}

impl Drop for PinGuard {
    fn drop(&mut self) {
        self.pins.release(&self.pin);
    }
}
