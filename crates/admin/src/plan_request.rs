//! Request for a plan.

use fleet::{Intent, IntentError, parse_intent};
use serde::{Deserialize, Serialize};

/// Intents to be planned together, those in text after the others.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequest {
    /// Intents.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub intents: Vec<Intent>,
    /// Intents as short text.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub texts: Vec<String>,
}

impl PlanRequest {
    /// All intents.
    ///
    /// # Errors
    ///
    /// A text is not an intent.
    pub fn into_intents(self) -> Result<Vec<Intent>, IntentError> {
        let mut intents = self.intents;
        for text in &self.texts {
            intents.push(parse_intent(text)?);
        }
        Ok(intents)
    }
}
