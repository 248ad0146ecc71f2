//! End of an answer.

use serde::{Deserialize, Serialize};
use wire::{engine::FinishReason, openai::Usage};

/// How an answer ended. It is stored as JSON in the replicas of the journal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Finish {
    pub reason: FinishReason,
    pub usage: Usage,
}
