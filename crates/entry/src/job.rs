//! Generation that a caller asked for, with everything that is pinned.

use base::{AccountName, ServiceName};
use fleet::Preset;
use limit::Class;
use serde::{Deserialize, Serialize};
use wire::engine::EngineRequest;

/// Shape of the answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AnswerKind {
    /// Chat completion.
    Chat,
    /// Plain completion.
    Text,
}

/// A generation with everything that is pinned for its life. It is the head of a journal copy.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Job {
    pub generation_id: String,
    pub account: AccountName,
    pub service: ServiceName,
    pub preset: Preset,
    pub class: Class,
    pub kind: AnswerKind,
    pub is_stream: bool,
    pub created_s: u64,
    /// Model as the caller named it.
    pub model_label: String,
    /// Request to engines, without the accepted tokens.
    pub request: EngineRequest,
}

impl Job {
    /// Whether `other` asks for the same answer; identifiers and the pinned version may differ.
    pub fn is_same_request(&self, other: &Self) -> bool {
        let (own, others) = (&self.request, &other.request);
        self.kind == other.kind
            && self.model_label == other.model_label
            && own.prompt == others.prompt
            && own.messages == others.messages
            && own.max_tokens == others.max_tokens
    }
}
