//! Inputs of the state machine of a generation.

use crate::{attempt::AttemptId, engine_signal::EngineSignal, loss_cause::LossCause};

/// Something that happened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Input<'a> {
    /// An attempt brought a token.
    Token {
        /// The attempt.
        attempt: AttemptId,
        /// Position in the whole answer, from 0.
        index: u32,
        /// Token identifier.
        token_id: u32,
        /// Text of the token.
        text: &'a str,
    },
    /// An attempt says that the answer has ended after `token_count` tokens.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens of the whole answer.
        token_count: u32,
    },
    /// An attempt ended early.
    Lost {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        cause: LossCause,
    },
    /// No engine was available for an attempt that was to start.
    NoUpstream {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The request of an attempt was sent; until then it waits for admission.
    Sent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The list of VMs says something about the engine of an attempt.
    Signal {
        /// The attempt.
        attempt: AttemptId,
        /// What it says; none if the engine is listed as live.
        signal: Option<EngineSignal>,
    },
    /// Time passed.
    Tick,
}
