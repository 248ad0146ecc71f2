//! State of a claimed key.

use crate::stored_answer::StoredAnswer;
use serde::{Deserialize, Serialize};

/// State of a claimed key in the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The owner may send the call. Nobody else may, even after the owner's death.
    Open,
    /// The owner gave the call up before it sent anything; the key may be claimed again.
    NotRun,
    /// The call ran and was answered.
    Answered(StoredAnswer),
    /// The call was sent and its outcome is not known.
    Unknown,
}
