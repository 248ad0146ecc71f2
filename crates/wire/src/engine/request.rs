//! Request for a completion stream.

use serde::{Deserialize, Serialize};

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Role of the author, for example `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Request to an engine for a stream of tokens.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineRequest {
    /// Identifier that every event of the answer repeats.
    pub request_id: String,
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Adapter; empty for none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub adapter: String,
    /// Prompt of a plain completion; empty if `messages` is used.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub prompt: String,
    /// Messages of a chat; empty if `prompt` is used.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message>,
    /// Tokens of the answer that exist already; the engine goes on after the last one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub continue_token_ids: Vec<u32>,
    /// Largest number of tokens in the whole answer, the given ones included.
    pub max_tokens: u32,
    /// Sampling temperature.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
    /// Nucleus sampling bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub top_p: Option<f64>,
    /// Scheduling priority; a lower number runs first.
    #[serde(default)]
    pub priority: i32,
    /// Always true: engines answer with a stream.
    pub stream: bool,
}
