//! Work in progress of an engine.

use crate::engine::state::EngineState;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Work that an engine has done and does.
#[derive(Debug, Default)]
pub(super) struct Work {
    state: Mutex<EngineState>,
}

impl Work {
    pub fn state(&self) -> EngineState {
        self.lock().clone()
    }

    /// Counts a request for as long as the value lives.
    pub fn begin(self: &Arc<Self>, request_id: &str) -> ActiveRequest {
        let mut state = self.lock();
        state.prefills += 1;
        state.active.push(request_id.to_owned());
        ActiveRequest { work: Arc::clone(self), request_id: request_id.to_owned() }
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Request that is being answered.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    work: Arc<Work>,
    request_id: String,
}

impl ActiveRequest {
    /// Counts a decoded token.
    pub fn count_token(&self) {
        self.work.lock().decoded_tokens += 1;
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut state = self.work.lock();
        state.active.retain(|id| *id != self.request_id);
    }
}
