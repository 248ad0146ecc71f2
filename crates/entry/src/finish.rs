//! Stored form of the end of an answer.

use serde::{Deserialize, Serialize};
use wire::{engine::FinishReason, openai::Usage};

/// Finish reason and token counts of a complete answer. It is stored as JSON in the replicas of the journal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Finish {
    pub reason: FinishReason,
    pub usage: Usage,
}
