//! Response to `POST /admin/v1/plans/{id}/confirm`.

use base::PlanId;
use serde::{Deserialize, Serialize};

/// Record that a plan has been applied, by this or an earlier request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmed {
    /// Identifier of the applied plan.
    pub plan_id: PlanId,
    /// Sequence number of the plan among all confirmed plans, from 1.
    pub sequence: u64,
    /// Revision that the plan produced, or the current revision if the plan was already applied.
    pub revision: u64,
    /// Whether the plan was already applied by an earlier request.
    pub was_confirmed_before: bool,
}
