//! Answers to callers: complete ones, and the chunks of streamed ones.

use serde::{Deserialize, Serialize};

/// Token counts of a request, as reported to the caller.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Sum of the prompt and answer tokens.
    pub total_tokens: u32,
}

/// Choice of a plain completion or of one of its chunks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Text of the complete answer, or the text that the chunk adds.
    pub text: String,
    /// Always null.
    pub logprobs: Option<()>,
    /// `stop` or `length` at the end of the answer; null in earlier chunks.
    pub finish_reason: Option<String>,
}

/// Complete answer to `POST /v1/completions`, or a chunk of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Completion {
    /// Identifier of the answer.
    pub id: String,
    /// Always `text_completion`.
    pub object: String,
    /// Creation time in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model that generates the answer.
    pub model: String,
    /// Model version that the answer is pinned to.
    pub system_fingerprint: String,
    /// Choices; empty in the chunk that carries the usage.
    pub choices: Vec<Choice>,
    /// Token counts; present in a complete answer and in the last chunk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Message of a complete chat answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatReply {
    /// Always `assistant`.
    pub role: String,
    /// Text of the answer.
    pub content: String,
}

/// Choice of a complete chat answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    /// Message that the model generated.
    pub message: ChatReply,
    /// Always null.
    pub logprobs: Option<()>,
    /// `stop` if the model ended the answer, `length` if the limit of tokens was reached.
    pub finish_reason: Option<String>,
}

/// Complete answer to `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatCompletion {
    /// Identifier of the answer.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Creation time in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model that generates the answer.
    pub model: String,
    /// Model version that the answer is pinned to.
    pub system_fingerprint: String,
    /// The only choice.
    pub choices: Vec<ChatChoice>,
    /// Token counts of the prompt and of the answer.
    pub usage: Usage,
}

/// Part of a chat answer that a chunk adds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ChatDelta {
    /// `assistant`, in the first chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text that is appended to the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Choice of a chunk of a chat answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatChunkChoice {
    /// Always 0.
    pub index: u32,
    /// Part of the answer that the chunk adds.
    pub delta: ChatDelta,
    /// Always null.
    pub logprobs: Option<()>,
    /// `stop` or `length` at the end of the answer; null in earlier chunks.
    pub finish_reason: Option<String>,
}

/// Chunk of a streamed chat answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatChunk {
    /// Identifier of the answer.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Creation time in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model that generates the answer.
    pub model: String,
    /// Model version that the answer is pinned to.
    pub system_fingerprint: String,
    /// Choices; empty in the chunk that carries the usage.
    pub choices: Vec<ChatChunkChoice>,
    /// Token counts; present in the last chunk only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}
