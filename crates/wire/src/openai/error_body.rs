//! Body of an error answer.

use serde::{Deserialize, Serialize};

/// Description of an error.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorDetail {
    /// Human-readable message.
    pub message: String,
    /// Kind of error, for example `invalid_request_error`.
    pub r#type: String,
    /// Field of the request that caused the error.
    pub param: Option<String>,
    /// Machine-readable code, for example `model_not_found`.
    pub code: Option<String>,
}

/// Body of an error answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    pub error: ErrorDetail,
}
