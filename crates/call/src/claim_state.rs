//! State of a claimed idempotency key.

use crate::stored_answer::StoredAnswer;
use serde::{Deserialize, Serialize};

/// State of a claimed idempotency key, as recorded in the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The owner may send the call. No other entry may send it, even after the owner has failed.
    Open,
    /// The owner abandoned the call before it sent anything. The key may be claimed again.
    NotRun,
    /// The call ran and was answered.
    Answered(StoredAnswer),
    /// The call was sent, and its outcome is unknown.
    Unknown,
}
