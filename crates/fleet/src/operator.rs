//! Operators in the configuration document.

use base::{KeyHash, OperatorName};
use serde::{Deserialize, Serialize};

/// Person who may plan and confirm changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Operator {
    /// Unique name of the operator.
    pub name: OperatorName,
    /// Hashes of the bearer keys that authenticate the operator.
    pub key_hashes: Vec<KeyHash>,
}
