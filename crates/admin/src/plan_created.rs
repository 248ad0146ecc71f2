//! Response to `POST /admin/v1/plans`.

use crate::new_key::NewKey;
use fleet::Plan;
use serde::{Deserialize, Serialize};

/// New plan with the generated keys, which become valid once the plan is confirmed. The keys are returned here and
/// nowhere else.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanCreated {
    /// Plan as it was stored. It changes nothing until it is confirmed.
    pub plan: Plan,
    /// Keys that were generated for the plan's intents; omitted if there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub new_keys: Vec<NewKey>,
}
