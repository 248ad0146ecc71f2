//! Answer to a question for the history.

use fleet::ConfirmedPlan;
use serde::{Deserialize, Serialize};

/// Confirmed plans, the oldest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// Revision that the platform holds.
    pub revision: u64,
    /// Number of plans that were ever confirmed.
    pub sequence: u64,
    /// Plans.
    pub plans: Vec<ConfirmedPlan>,
}
