//! Engine as the holder knows it.

use crate::versions::{Versions, present};
use wire::engine::EngineState;

/// Load that was ordered and is not visible yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingLoad {
    /// End state that was ordered.
    pub target: Versions,
    /// Until when the order counts as a load.
    pub until_ms: u64,
}

/// Engine as the holder knows it.
#[derive(Clone, Debug)]
pub(crate) struct EngineView {
    /// Last state that was read; none while the engine cannot be read.
    pub state: Option<EngineState>,
    /// Until when an engine without a state counts as a load.
    pub unknown_until_ms: u64,
    /// Load that was ordered and is not visible yet.
    pub pending: Option<PendingLoad>,
}

impl EngineView {
    /// Engine of which nothing is known yet; it counts as a load until `unknown_until_ms`.
    pub fn unknown(unknown_until_ms: u64) -> Self {
        Self { state: None, unknown_until_ms, pending: None }
    }

    /// Takes over a state that was read.
    pub fn observe(&mut self, state: EngineState, now_ms: u64) {
        self.pending = self.pending.take().filter(|pending| {
            let is_visible = !state.loading.is_empty()
                || present(&state).is_none_or(|present| present == pending.target);
            !is_visible && now_ms < pending.until_ms
        });
        self.state = Some(state);
    }

    /// Notes that the engine could not be read.
    pub fn lose(&mut self, unknown_until_ms: u64) {
        if self.state.take().is_some() {
            self.unknown_until_ms = unknown_until_ms;
        }
    }

    /// Whether the engine may be loading.
    pub fn may_load(&self, now_ms: u64) -> bool {
        let is_pending = self.pending.as_ref().is_some_and(|pending| now_ms < pending.until_ms);
        match &self.state {
            Some(state) => is_pending || !state.loading.is_empty(),
            None => is_pending || now_ms < self.unknown_until_ms,
        }
    }
}
