//! Response to a confirmation.

use base::PlanId;
use serde::{Deserialize, Serialize};

/// Response body for a plan that is applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmed {
    /// Identifier of the plan.
    pub plan_id: PlanId,
    /// Sequence number of the change.
    pub sequence: u64,
    /// Revision that the plan produced, or the current revision if the plan was already applied.
    pub revision: u64,
    /// Whether the plan was already applied by an earlier request.
    pub was_confirmed_before: bool,
}
