//! Operator.

use base::{KeyHash, OperatorName};
use serde::{Deserialize, Serialize};

/// A person who may plan and confirm changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Operator {
    /// Name.
    pub name: OperatorName,
    /// Hashes of the bearer keys that are accepted.
    pub key_hashes: Vec<KeyHash>,
}
