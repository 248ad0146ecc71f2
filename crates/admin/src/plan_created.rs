//! Answer to a new plan.

use crate::new_key::NewKey;
use fleet::Plan;
use serde::{Deserialize, Serialize};

/// A new plan with the keys that it would bring into force. They are shown here and nowhere else.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanCreated {
    /// Plan.
    pub plan: Plan,
    /// Generated keys.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub new_keys: Vec<NewKey>,
}
