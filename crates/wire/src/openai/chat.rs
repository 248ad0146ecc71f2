//! Callers' requests for chat answers.

use crate::openai::completion::StreamOptions;
use serde::Deserialize;

/// One part of the content of a chat message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct ContentPart {
    /// Kind of the part; only `text` is accepted.
    pub r#type: String,
    /// Text of the part; empty if the part has no `text` field.
    #[serde(default)]
    pub text: String,
}

/// Content of a message: a text or a list of parts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(untagged)]
pub enum Content {
    /// One text.
    Text(String),
    /// A list of parts.
    Parts(Vec<ContentPart>),
}

/// One message of a chat, from the caller or from an earlier answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct ChatMessage {
    /// Role of the author, for example `user`.
    pub role: String,
    pub content: Content,
}

/// Body of `POST /v1/chat/completions`. Unknown fields are ignored because client libraries send many.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ChatRequest {
    /// Model name, or `model:adapter`.
    pub model: String,
    /// Messages of the chat so far.
    pub messages: Vec<ChatMessage>,
    /// Largest number of tokens in the answer; a default applies if neither this nor `max_completion_tokens` is
    /// present.
    pub max_tokens: Option<u32>,
    /// Newer name of `max_tokens` in the OpenAI API; takes precedence if both are present.
    pub max_completion_tokens: Option<u32>,
    /// Sampling temperature; absent if the engine is to choose it.
    pub temperature: Option<f64>,
    /// Probability mass of nucleus sampling; absent if the engine is to choose it.
    pub top_p: Option<f64>,
    /// Number of answers; only 1 is accepted, which is also the default.
    pub n: Option<u32>,
    /// Whether the answer is streamed; `false` if it is absent.
    pub stream: Option<bool>,
    /// Accepted for compatibility; has no effect.
    pub stream_options: Option<StreamOptions>,
}
