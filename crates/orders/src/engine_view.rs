//! What the holder of a service's lease knows about an engine, and whether the engine may be loading.

use crate::versions::{Versions, loaded_or_loading};
use wire::engine::EngineState;

/// Load that the holder ordered but that the engine doesn't report yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingLoad {
    /// Versions that the engine will have once it has followed the order.
    pub target: Versions,
    /// Time until which the order counts as a load, in milliseconds.
    pub until_ms: u64,
}

/// What the holder of a service's lease knows about an engine. All times are in milliseconds of the holder's clock.
#[derive(Clone, Debug)]
pub(crate) struct EngineView {
    /// Last state that was read; `None` while the engine cannot be read.
    pub state: Option<EngineState>,
    /// Time until which an engine without a state counts as a load.
    pub unknown_until_ms: u64,
    /// Load that the holder ordered; `None` once the engine reports the load or `PendingLoad::until_ms` has passed.
    pub pending: Option<PendingLoad>,
}

impl EngineView {
    /// Creates the view of an engine that has not been read yet. It counts as a load until `unknown_until_ms`.
    pub fn unknown(unknown_until_ms: u64) -> Self {
        Self { state: None, unknown_until_ms, pending: None }
    }

    /// Records a state that was read, and drops the pending load if the state shows the load or
    /// `PendingLoad::until_ms` has passed.
    pub fn observe(&mut self, state: EngineState, now_ms: u64) {
        self.pending = self.pending.take().filter(|pending| {
            let is_visible = !state.loading.is_empty()
                || loaded_or_loading(&state).is_none_or(|versions| versions == pending.target);
            !is_visible && now_ms < pending.until_ms
        });
        self.state = Some(state);
    }

    /// Records that the engine could not be read. If its state was known before, the engine counts as a load until
    /// `unknown_until_ms`.
    pub fn mark_unreadable(&mut self, unknown_until_ms: u64) {
        if self.state.take().is_some() {
            self.unknown_until_ms = unknown_until_ms;
        }
    }

    /// Returns whether the engine is loading, or may be loading because a load is pending or the state is unknown.
    pub fn may_be_loading(&self, now_ms: u64) -> bool {
        let is_pending = self.pending.as_ref().is_some_and(|pending| now_ms < pending.until_ms);
        match &self.state {
            Some(state) => is_pending || !state.loading.is_empty(),
            None => is_pending || now_ms < self.unknown_until_ms,
        }
    }
}
