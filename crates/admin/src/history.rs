//! Response to `GET /admin/v1/history`.

use fleet::ConfirmedPlan;
use serde::{Deserialize, Serialize};

/// Confirmed plans, the oldest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// Current revision of the configuration on the platform; 0 before the first change.
    pub revision: u64,
    /// Number of plans that have been confirmed in total.
    pub sequence: u64,
    /// Confirmed plans that the history still contains, up to the limit of the request.
    pub plans: Vec<ConfirmedPlan>,
}
