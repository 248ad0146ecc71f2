//! Generation that a caller asked for, with everything that is pinned.

use base::{AccountName, ServiceName};
use fleet::Preset;
use limit::Class;
use wire::engine::EngineRequest;

/// Shape of the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerKind {
    /// Chat completion.
    Chat,
    /// Plain completion.
    Text,
}

/// A generation with everything that is pinned for its life.
#[derive(Clone, Debug)]
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
