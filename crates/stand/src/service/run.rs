//! Execution of a request.

use serde::{Deserialize, Serialize};

/// Execution of a request at the service. The response body has the same content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Name of the service that executed the request.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Idempotency key; empty if the request had none.
    pub key: String,
    /// Request id; empty if the request had none.
    pub request_id: String,
    /// Whether the request arrived more than 3 s after the instance started to leave.
    pub is_late: bool,
    /// Names of the headers of the request.
    pub header_names: Vec<String>,
}
