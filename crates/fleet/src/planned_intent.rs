//! Intents as a plan stores them.

use crate::intent::Intent;
use base::KeyHash;
use serde::{Deserialize, Serialize};

/// Intent of a plan with the hash of the key that was generated for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlannedIntent {
    /// Change that the operator requested.
    pub intent: Intent,
    /// Hash of the new key; `None` if the intent creates no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_hash: Option<KeyHash>,
}
