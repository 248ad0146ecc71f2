//! Attempts, each of which executes a generation at one engine.

use crate::engine_signal::EngineSignal;

/// Number of an attempt within its generation, from 1.
pub type AttemptId = u32;

/// State of an attempt that has neither ended nor been cancelled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub id: AttemptId,
    /// Time of the last token. Before the first token, time at which the request was sent; before that, time at which
    /// the attempt was requested.
    pub last_event_ms: u64,
    /// Whether the request was sent; until then the attempt waits for admission.
    pub is_sent: bool,
    /// Whether the attempt has delivered a token.
    pub has_token: bool,
    /// Whether the attempt has sent nothing for longer than its silence or first-token timeout.
    pub is_suspected: bool,
    /// Current signal about the engine of the attempt.
    pub signal: Option<EngineSignal>,
}
