//! Body of `POST /v1/chat/completions`.

use crate::openai::completion::StreamOptions;
use serde::Deserialize;

/// One part of a message's content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct ContentPart {
    /// Kind of the part; only `text` is accepted.
    pub r#type: String,
    /// Text of the part.
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

/// Message of a chat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct ChatMessage {
    /// Role of the author.
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
    /// Largest number of tokens in the answer.
    pub max_tokens: Option<u32>,
    /// Newer name of `max_tokens` in the OpenAI API.
    pub max_completion_tokens: Option<u32>,
    /// Sampling temperature.
    pub temperature: Option<f64>,
    /// Probability mass of nucleus sampling.
    pub top_p: Option<f64>,
    /// Number of answers; only 1 is accepted.
    pub n: Option<u32>,
    /// Whether the answer is streamed.
    pub stream: Option<bool>,
    /// Options of a streamed answer.
    pub stream_options: Option<StreamOptions>,
}
