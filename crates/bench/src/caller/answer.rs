//! What a caller received.

use stand::Chain;
use std::time::Instant;

/// How a stream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
    /// `data: [DONE]` after a finish reason.
    Done,
    /// An error event; its code.
    Error(String),
    /// A refusal before the stream began: status and code.
    Refused(u16, String),
    /// The connection ended early.
    Cut,
}

/// Streamed answer as a caller received it, possibly over several connections.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Text of all tokens.
    pub text: String,
    /// Pinned model version that the answer names.
    pub version: String,
    /// Identifier of the last event.
    pub last_event_id: Option<String>,
    /// Longest time between two tokens.
    pub longest_gap_ms: u64,
    /// Time to the first token.
    pub first_token_ms: Option<u64>,
    /// When each token arrived.
    pub token_times: Vec<Instant>,
    /// Number of completion tokens in the usage.
    pub usage_tokens: Option<u32>,
    /// How the last connection ended.
    pub end: AnswerEnd,
}

impl Answer {
    /// Identifier of the generation, which the event ids begin with.
    pub fn generation_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()?.split('/').next()
    }

    /// Whether the answer is whole and unmixed: it ended, its chain holds from the start, and the count of tokens
    /// agrees with the usage.
    pub fn is_whole(&self, model: &str, adapter: &str, prompt: &str) -> bool {
        let chain = Chain::new(model, &self.version, adapter, prompt);
        let Ok(count) = chain.verify(&self.text) else { return false };
        self.end == AnswerEnd::Done
            && self.usage_tokens.map(|tokens| tokens as usize) == Some(count)
    }
}
