//! Callers' requests for plain completions.

use serde::Deserialize;

/// Prompt as one text or as a list with one text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(untagged)]
pub enum Prompt {
    /// One text.
    Text(String),
    /// A list of texts; only a list of one is accepted.
    List(Vec<String>),
}

/// Options that a caller may send with a request for a streamed answer. They have no effect.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct StreamOptions {
    /// Accepted for compatibility only, because the usage is always sent.
    #[serde(default)]
    pub include_usage: bool,
}

/// Body of `POST /v1/completions`. Unknown fields are ignored because client libraries send many.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct CompletionRequest {
    /// Model name, or `model:adapter`.
    pub model: String,
    pub prompt: Prompt,
    /// Largest number of tokens in the answer; a default applies if it is absent.
    pub max_tokens: Option<u32>,
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
