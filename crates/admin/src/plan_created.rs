//! Response to a request that creates a plan.

use crate::new_key::NewKey;
use fleet::Plan;
use serde::{Deserialize, Serialize};

/// New plan with the keys that it activates once it is confirmed. The keys are returned here and nowhere else.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanCreated {
    /// The new plan.
    pub plan: Plan,
    /// Keys that were generated for the plan's intents.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub new_keys: Vec<NewKey>,
}
