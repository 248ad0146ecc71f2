//! Request to an engine for a completion stream.

use serde::{Deserialize, Serialize};

/// One message of a chat, as it is passed on to the engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Role of the author, for example `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Body of `POST /v1/completions` at an engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineRequest {
    /// Identifier that every event of the answer repeats.
    pub request_id: String,
    pub model: String,
    /// Version of `model` that must generate the answer.
    pub version: String,
    /// Name of the adapter; empty if the request uses none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub adapter: String,
    /// Prompt of a plain completion; empty if `messages` is used.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub prompt: String,
    /// Messages of a chat; empty if `prompt` is used.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message>,
    /// Identifiers of the tokens of the answer that were generated earlier, at this or another engine. The engine
    /// continues after the last one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub continue_token_ids: Vec<u32>,
    /// Largest number of tokens in the whole answer, including `continue_token_ids`.
    pub max_tokens: u32,
    /// Sampling temperature; absent if the caller set none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
    /// Probability mass of nucleus sampling; absent if the caller set none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub top_p: Option<f64>,
    /// Scheduling priority. Requests with a lower number run first.
    #[serde(default)]
    pub priority: i32,
    /// Always true, because engines answer only with streams.
    pub stream: bool,
}
