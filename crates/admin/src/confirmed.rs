//! Answer to a confirmation.

use base::PlanId;
use serde::{Deserialize, Serialize};

/// A plan that was applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmed {
    /// Plan.
    pub plan_id: PlanId,
    /// Number of the change.
    pub sequence: u64,
    /// Revision that the plan produced, or the present one if the plan had been applied before.
    pub revision: u64,
    /// Whether an earlier request had applied the plan.
    pub was_confirmed_before: bool,
}
