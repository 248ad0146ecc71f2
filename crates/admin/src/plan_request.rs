//! Body of `POST /admin/v1/plans`.

use fleet::{Intent, IntentError, parse_intent};
use serde::{Deserialize, Serialize};

/// Intents that become one plan. Those in `texts` are applied after those in `intents`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequest {
    /// Intents as structured values.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub intents: Vec<Intent>,
    /// Intents in text form, such as `create account NAME requests_per_s=10`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub texts: Vec<String>,
}

impl PlanRequest {
    /// Returns all intents in the order in which they are applied.
    ///
    /// # Errors
    ///
    /// A text cannot be parsed as an intent.
    pub fn into_intents(self) -> Result<Vec<Intent>, IntentError> {
        let mut intents = self.intents;
        for text in &self.texts {
            intents.push(parse_intent(text)?);
        }
        Ok(intents)
    }
}
