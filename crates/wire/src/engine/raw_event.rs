//! Event of a completion stream in the form that it has on the wire.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Token counts of a finished answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the whole answer, including `EngineRequest::continue_token_ids`.
    pub completion_tokens: u32,
}

/// Event that is not validated yet. The fields that are present determine its kind.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RawEngineEvent<'a> {
    /// `EngineRequest::request_id` of the request that the event belongs to.
    #[serde(borrow)]
    pub request_id: Cow<'a, str>,
    /// Position of the token in the whole answer, from 0; absent unless the event is a token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index: Option<u32>,
    /// Number of the token in the model's vocabulary; absent unless the event is a token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_id: Option<u32>,
    /// Text of the token; absent unless the event is a token.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub text: Option<Cow<'a, str>>,
    /// `stop` or `length` in the finish event, which ends the answer; absent in other events.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<Cow<'a, str>>,
    /// Token counts, which the finish event must contain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Error message of an engine that cannot continue the answer; absent unless the event is an error.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Cow<'a, str>>,
}
