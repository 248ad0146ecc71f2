//! Inputs of the state machine of a generation.

use crate::{attempt::AttemptId, engine_signal::EngineSignal, loss_cause::LossCause};

/// An event that the driver reports to the state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Input<'a> {
    /// An attempt delivered a token.
    Token {
        /// Number of the attempt that delivered the token.
        attempt: AttemptId,
        /// Position of the token in the answer, from 0.
        index: u32,
        /// Identifier of the token in the vocabulary of the model.
        token_id: u32,
        /// Text that the token decodes to.
        text: &'a str,
    },
    /// An attempt reported the end of the answer.
    Finished {
        /// Number of the attempt that reported the end.
        attempt: AttemptId,
        /// Number of tokens in the whole answer, including those of earlier attempts.
        token_count: u32,
    },
    /// An attempt ended before the end of the answer.
    Lost {
        /// Number of the attempt that ended.
        attempt: AttemptId,
        /// Why the attempt ended.
        cause: LossCause,
    },
    /// No engine was available for an attempt that was requested.
    NoUpstream {
        /// Number of the attempt that was requested.
        attempt: AttemptId,
    },
    /// The driver may send no further request for an attempt that was requested, for example because the request is not
    /// idempotent and an engine may still run it.
    NotPermitted {
        /// Number of the attempt that was requested.
        attempt: AttemptId,
    },
    /// The request of an attempt was sent to an engine. Until then the attempt waits for admission.
    Sent {
        /// Number of the attempt whose request was sent.
        attempt: AttemptId,
    },
    /// The engine has accepted the request of an attempt, and no longer refuses it.
    Accepted {
        /// Number of the attempt whose request was accepted.
        attempt: AttemptId,
    },
    /// The engine of an attempt did not respond to a health check in time. It may be silent only for a while.
    Unresponsive {
        /// Number of the attempt that the engine runs.
        attempt: AttemptId,
    },
    /// The signal about the engine of an attempt changed.
    Signal {
        /// Number of the attempt that the engine runs.
        attempt: AttemptId,
        /// The new signal; `None` if the engine is listed as live and doesn't report `Working`.
        signal: Option<EngineSignal>,
    },
    /// Time has passed. The driver reports this no later than at the deadline of the generation.
    Tick,
}
