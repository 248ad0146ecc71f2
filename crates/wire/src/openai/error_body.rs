//! Body of an error answer.

use serde::{Deserialize, Serialize};

/// What went wrong.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorDetail {
    /// Text for a person.
    pub message: String,
    /// Kind of error, for example `invalid_request_error`.
    pub r#type: String,
    /// The field of the request that is at fault.
    pub param: Option<String>,
    /// Code for a program, for example `model_not_found`.
    pub code: Option<String>,
}

/// Body of an error answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
}
