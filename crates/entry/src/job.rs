//! Description of a generation that a caller has requested.

use base::{AccountName, ServiceName};
use fleet::Preset;
use limit::Class;
use serde::{Deserialize, Serialize};
use wire::engine::EngineRequest;

/// Format of the answer, given by the route of the request.
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
    /// Time at which the request arrived, in seconds since the Unix epoch.
    pub created_s: u64,
    /// Model as named by the caller: `model`, or `model:adapter`.
    pub model_label: String,
    /// Request that is sent to engines. Each attempt adds its identifier, its priority and the tokens accepted so far.
    pub request: EngineRequest,
}

impl Job {
    /// Whether `other` has the same answer format, model, prompt or messages, and token limit. Everything else may
    /// differ, such as the identifier, the sampling parameters and the pinned version.
    pub fn is_same_request(&self, other: &Self) -> bool {
        let (own, others) = (&self.request, &other.request);
        self.kind == other.kind
            && self.model_label == other.model_label
            && own.prompt == others.prompt
            && own.messages == others.messages
            && own.max_tokens == others.max_tokens
    }
}
