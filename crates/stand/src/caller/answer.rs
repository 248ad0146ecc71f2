//! What a caller received.

use crate::token_chain::TokenChain;
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
    /// The connection delivered nothing for longer than the caller waits.
    Silent,
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
    /// Time of the last token, or of the question.
    pub last_token_at: Instant,
    /// Longest time between two tokens, over reconnects as well.
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
    /// Answer of which nothing was received yet.
    pub fn empty() -> Self {
        Self {
            text: String::new(),
            version: String::new(),
            last_event_id: None,
            last_token_at: Instant::now(),
            longest_gap_ms: 0,
            first_token_ms: None,
            token_times: Vec::new(),
            usage_tokens: None,
            end: AnswerEnd::Cut,
        }
    }

    /// Tokens that the last event's identifier counts.
    pub fn token_count(&self) -> u32 {
        self.id_part(4).and_then(|index| index.parse().ok()).unwrap_or(0)
    }

    /// Holder that the last event's identifier names.
    pub fn replica_holder(&self) -> Option<&str> {
        self.id_part(3)
    }

    fn id_part(&self, position: usize) -> Option<&str> {
        self.last_event_id.as_ref()?.split('/').nth(position)
    }

    /// Identifier of the generation, which the event ids begin with.
    pub fn generation_id(&self) -> Option<&str> {
        self.id_part(0)
    }

    /// Time from `at` to the next token that arrived; `None` if there was none.
    pub fn resume_ms(&self, at: Instant) -> Option<u64> {
        let next = self.token_times.iter().find(|&&time| time > at)?;
        u64::try_from(next.duration_since(at).as_millis()).ok()
    }

    /// Whether the answer is whole and unmixed: it ended, its chain holds from the start, and the count of tokens
    /// agrees with the usage.
    pub fn is_whole(&self, model: &str, adapter: &str, prompt: &str) -> bool {
        let chain = TokenChain::new(model, &self.version, adapter, prompt);
        let Ok(count) = chain.verify(&self.text) else { return false };
        self.end == AnswerEnd::Done
            && self.usage_tokens.map(|tokens| tokens as usize) == Some(count)
    }
}
