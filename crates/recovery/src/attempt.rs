//! Attempt at an engine.

use crate::engine_signal::EngineSignal;

/// Number of an attempt within its generation, from 1.
pub type AttemptId = u32;

/// Live attempt as the state machine sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub id: AttemptId,
    pub last_event_ms: u64,
    pub is_sent: bool,
    pub has_token: bool,
    pub is_suspected: bool,
    pub signal: Option<EngineSignal>,
}
