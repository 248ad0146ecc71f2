//! Error responses to callers, in the form of the OpenAI API.

use serde::{Deserialize, Serialize};

/// Description of why a request failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorDetail {
    /// Explanation for a human reader.
    pub message: String,
    /// Kind of error, for example `invalid_request_error`.
    pub r#type: String,
    /// Field of the request that caused the error, or null if it was no particular field.
    pub param: Option<String>,
    /// Machine-readable code, for example `model_not_found`, or null if there is none.
    pub code: Option<String>,
}

/// JSON body of a response that reports an error.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    pub error: ErrorDetail,
}
