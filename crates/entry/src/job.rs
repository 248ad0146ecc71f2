//! Generation that was requested by a caller.

use base::{AccountName, ServiceName};
use fleet::Preset;
use limit::Class;
use serde::{Deserialize, Serialize};
use wire::engine::EngineRequest;

/// Format of the answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum AnswerKind {
    /// Format of `/v1/chat/completions`.
    Chat,
    /// Format of `/v1/completions`.
    Text,
}

/// Generation with the properties that stay fixed until it ends, such as the model version. It is stored as JSON in the
/// header of each journal replica.
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
    /// Model as named by the caller, with the adapter if there is one.
    pub model_label: String,
    /// Request that is sent to engines, without the accepted tokens.
    pub request: EngineRequest,
}

impl Job {
    /// Whether `other` requests the same answer. Identifiers and the pinned version may differ.
    pub fn is_same_request(&self, other: &Self) -> bool {
        let (own, others) = (&self.request, &other.request);
        self.kind == other.kind
            && self.model_label == other.model_label
            && own.prompt == others.prompt
            && own.messages == others.messages
            && own.max_tokens == others.max_tokens
    }
}
