//! Intent of a plan.

use crate::intent::Intent;
use base::KeyHash;
use serde::{Deserialize, Serialize};

/// Intent with the hash of the key that was generated for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlannedIntent {
    /// Intent.
    pub intent: Intent,
    /// Hash of the new key, if the intent creates one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_hash: Option<KeyHash>,
}
