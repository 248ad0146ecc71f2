//! Validated event of a completion stream.

use crate::engine::raw_event::{RawEngineEvent, Usage};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The answer reached its limit of tokens.
    Length,
    /// The model ended the answer itself.
    Stop,
}

impl FinishReason {
    /// Returns the value of `finish_reason` in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Stop => "stop",
        }
    }
}

/// One event of an engine's stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineEvent {
    /// A token of the answer.
    Token {
        /// Position of the token in the whole answer, from 0.
        index: u32,
        /// Number of the token in the model's vocabulary.
        token_id: u32,
        /// Text of the token.
        text: Box<str>,
    },
    /// The finish event, which ends the answer.
    Finish {
        /// Why the answer ended.
        reason: FinishReason,
        /// Token counts of the prompt and of the whole answer.
        usage: Usage,
    },
    /// The engine cannot continue the answer.
    Error {
        /// Error message of the engine.
        message: Box<str>,
    },
}

quick_error! {
    /// Why an event is not valid.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum EventError {
        /// The event contains no error message, and its fields are neither those of a token nor those of a finish
        /// event.
        UnknownShape {
            display("the event is neither a token nor a finish")
        }
        /// The finish reason is neither `length` nor `stop`.
        UnknownFinishReason(reason: Box<str>) {
            display("unknown finish reason {reason:?}")
        }
    }
}

impl TryFrom<RawEngineEvent<'_>> for EngineEvent {
    type Error = EventError;

    fn try_from(raw: RawEngineEvent<'_>) -> Result<Self, EventError> {
        if let Some(message) = raw.error {
            return Ok(Self::Error { message: message.into() });
        }
        match (raw.index, raw.token_id, raw.text, raw.finish_reason, raw.usage) {
            (Some(index), Some(token_id), Some(text), None, _) => {
                Ok(Self::Token { index, token_id, text: text.into() })
            }
            (None, None, None, Some(reason), Some(usage)) => {
                let reason = match reason.as_ref() {
                    "length" => FinishReason::Length,
                    "stop" => FinishReason::Stop,
                    other => return Err(EventError::UnknownFinishReason(other.into())),
                };
                Ok(Self::Finish { reason, usage })
            }
            _ => Err(EventError::UnknownShape),
        }
    }
}
