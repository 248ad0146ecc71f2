//! Events of a completion stream.

use serde::{Deserialize, Serialize};

/// Token counts of a finished answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the whole answer.
    pub completion_tokens: u32,
}

/// One event of an engine's stream: a token, or the finish.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(untagged)]
pub enum EngineEvent {
    /// A token.
    Token {
        /// Identifier of the request.
        request_id: String,
        /// Position of the token in the whole answer, from 0.
        index: u32,
        /// Token identifier.
        token_id: u32,
        /// Text of the token.
        text: String,
    },
    /// The end of the answer.
    Finish {
        /// Identifier of the request.
        request_id: String,
        /// `stop` or `length`.
        finish_reason: String,
        /// Token counts.
        usage: Usage,
    },
    /// The engine could not go on.
    Error {
        /// Identifier of the request.
        request_id: String,
        /// What went wrong.
        error: String,
    },
}
