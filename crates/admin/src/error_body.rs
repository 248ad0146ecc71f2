//! Response body of an error.

use fleet::ConfirmedPlan;
use serde::{Deserialize, Serialize};

/// Message and code of an error.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdminErrorDetail {
    /// Human-readable message.
    pub message: String,
    /// Machine-readable code.
    pub code: String,
}

/// Response body of an error.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdminErrorBody {
    /// Message and code.
    pub error: AdminErrorDetail,
    /// Changes since the revision that a stale plan was built on; empty for other errors.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<ConfirmedPlan>,
}
