//! Collects what a caller receives of a streamed answer, and checks that it is complete.

use crate::token_chain::TokenChain;
use std::time::Instant;

/// Reason why a connection that delivered a stream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
    /// The stream ended normally: `data: [DONE]` arrived after an event with a finish reason.
    Done,
    /// An error event arrived; contains its code.
    Error(String),
    /// The request was refused before the stream began; contains the HTTP status and the error code.
    Refused(u16, String),
    /// The connection failed, or it ended before the answer was complete.
    Cut,
    /// The connection delivered nothing for the idle timeout of the caller, who closed it.
    Silent,
}

/// Streamed answer as a caller received it, possibly over several connections.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Concatenated text of all tokens.
    pub text: String,
    /// Model version that generated the answer, from `system_fingerprint`.
    pub version: String,
    /// Id of the last event, from which the stream can be resumed; `None` before the first event.
    pub last_event_id: Option<String>,
    /// Arrival time of the last token, or the time of the request before the first one.
    pub last_token_at: Instant,
    /// Longest time between two tokens, including the time of reconnects.
    pub longest_gap_ms: u64,
    /// Time from the request to the first token; `None` before the first token.
    pub first_token_ms: Option<u64>,
    /// Arrival time of each token.
    pub token_times: Vec<Instant>,
    /// Number of completion tokens according to the usage in the stream; `None` before the usage arrives.
    pub usage_tokens: Option<u32>,
    /// Reason why the last connection ended.
    pub end: AnswerEnd,
}

impl Answer {
    /// Returns an answer of which nothing has been received yet.
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

    /// Returns the number of tokens according to the id of the last event; 0 before the first event.
    pub fn token_count(&self) -> u32 {
        self.event_id_part(4).and_then(|index| index.parse().ok()).unwrap_or(0)
    }

    /// Returns the name of the daemon that holds the journal's replica, from the id of the last event; `-` stands for
    /// no replica. Returns `None` before the first event.
    pub fn replica_holder(&self) -> Option<&str> {
        self.event_id_part(3)
    }

    /// Returns one of the parts of the last event id, which are separated by slashes.
    fn event_id_part(&self, position: usize) -> Option<&str> {
        self.last_event_id.as_ref()?.split('/').nth(position)
    }

    /// Returns the id of the generation, which is the first part of each event id; `None` before the first event.
    pub fn generation_id(&self) -> Option<&str> {
        self.event_id_part(0)
    }

    /// Returns the time from `at` to the next token; `None` if no token arrived after `at`.
    pub fn resume_ms(&self, at: Instant) -> Option<u64> {
        let next = self.token_times.iter().find(|&&time| time > at)?;
        u64::try_from(next.duration_since(at).as_millis()).ok()
    }

    /// Returns whether the answer is complete and contains no tokens of another answer: its stream ended normally, its
    /// token chain is valid from the start, and its number of tokens equals the reported usage.
    pub fn is_whole(&self, model: &str, adapter: &str, prompt: &str) -> bool {
        let chain = TokenChain::new(model, &self.version, adapter, prompt);
        let Ok(count) = chain.verify(&self.text) else { return false };
        self.end == AnswerEnd::Done
            && self.usage_tokens.map(|tokens| tokens as usize) == Some(count)
    }
}
