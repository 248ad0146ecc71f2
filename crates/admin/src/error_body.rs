//! JSON form of the errors of the administration API.

use fleet::ConfirmedPlan;
use serde::{Deserialize, Serialize};

/// Message and code of an error.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdminErrorDetail {
    /// Explanation for the operator.
    pub message: String,
    /// Machine-readable code, for example `plan_stale`; `AdminError::code` lists all of them.
    pub code: String,
}

/// Response body for a request that failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdminErrorBody {
    /// What failed, as a message and a code.
    pub error: AdminErrorDetail,
    /// Changes since the revision that a stale plan was built on; empty for other errors.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<ConfirmedPlan>,
}
