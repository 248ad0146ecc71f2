//! One run of a request.

use serde::{Deserialize, Serialize};

/// One run of a request. The answer to the request has the same content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Name of the service.
    pub service: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Idempotency key; empty if there was none.
    pub key: String,
    /// Request id; empty if there was none.
    pub request_id: String,
    /// Whether it arrived more than 3 s after the instance began to leave.
    pub is_late: bool,
    /// Names of the headers that arrived.
    pub header_names: Vec<String>,
}
