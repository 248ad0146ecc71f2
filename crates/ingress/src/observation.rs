//! Observation of one request at an instance, for the evidence of a rollout.

use crate::rollout_control::RolloutControl;
use std::sync::Arc;

/// Observation of one request at an instance. A request that ends without an answer is forgotten, because lost connections
/// come from crashes.
#[derive(Debug)]
pub(crate) struct Observation {
    control: Arc<RolloutControl>,
    number: u64,
}

impl Observation {
    pub fn new(control: Arc<RolloutControl>, number: u64) -> Self {
        Self { control, number }
    }

    /// Takes note of the complete answer to a call, or of an answer with a server error.
    pub fn answer(&self, has_failed: bool) {
        self.control.with(|rollouts, now_ms| rollouts.answer(self.number, has_failed, now_ms));
    }

    /// Takes note of an event of a stream.
    pub fn event(&self) {
        self.control.with(|rollouts, now_ms| rollouts.event(self.number, now_ms));
    }
}

impl Drop for Observation {
    fn drop(&mut self) {
        self.control.with(|rollouts, _| rollouts.end(self.number));
    }
}
