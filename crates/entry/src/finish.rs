//! End of an answer.

use serde::{Deserialize, Serialize};
use wire::{engine::FinishReason, openai::Usage};

/// How an answer ended. Journal copies hold it as JSON.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Finish {
    pub reason: FinishReason,
    pub usage: Usage,
}
