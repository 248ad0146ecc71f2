//! Rules for the calls of a plain service.

use serde::{Deserialize, Serialize};

/// Longest wait for an answer unless the service says otherwise.
const ANSWER_WAIT_MS: u64 = 10_000;

/// Rules for the calls of a plain service. Method names are case-sensitive.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct CallRules {
    /// Methods that may be repeated in addition to the standard idempotent ones.
    pub idempotent_methods: Vec<String>,
    /// Methods that run at most once. This list takes precedence.
    pub at_most_once_methods: Vec<String>,
    /// Longest wait for an answer.
    pub answer_wait_ms: u64,
}

impl Default for CallRules {
    fn default() -> Self {
        Self {
            idempotent_methods: Vec::new(),
            at_most_once_methods: Vec::new(),
            answer_wait_ms: ANSWER_WAIT_MS,
        }
    }
}
