//! Retry and timeout rules that the configuration sets for a plain service.

use serde::{Deserialize, Serialize};

/// Answer timeout of a service that doesn't set one, in milliseconds.
const DEFAULT_ANSWER_WAIT_MS: u64 = 10_000;

/// Retry and timeout rules for the calls of a plain service. Method names are case-sensitive.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct CallRules {
    /// Methods that may be retried in addition to the standard idempotent ones.
    pub idempotent_methods: Vec<String>,
    /// Methods whose calls must not run more than once. This list takes precedence over `idempotent_methods`.
    pub at_most_once_methods: Vec<String>,
    /// Maximum wait for an answer, in milliseconds.
    pub answer_wait_ms: u64,
}

impl Default for CallRules {
    fn default() -> Self {
        Self {
            idempotent_methods: Vec::new(),
            at_most_once_methods: Vec::new(),
            answer_wait_ms: DEFAULT_ANSWER_WAIT_MS,
        }
    }
}
