//! Body of an error.

use fleet::ConfirmedPlan;
use serde::{Deserialize, Serialize};

/// What went wrong.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdminErrorDetail {
    /// Text for people.
    pub message: String,
    /// Code for programs.
    pub code: String,
}

/// Body of an error.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdminErrorBody {
    /// What went wrong.
    pub error: AdminErrorDetail,
    /// Changes since the base of a stale plan.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<ConfirmedPlan>,
}
