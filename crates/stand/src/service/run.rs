//! Record of one executed request.

use serde::{Deserialize, Serialize};

/// Execution of one request at a plain service. It is both a line of the ledger file and the body of the response.
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
    /// Whether the request arrived more than 3 s (`LATE_REQUEST_AFTER_MS`) after the instance was marked as leaving.
    pub is_late: bool,
    /// Names of the headers of the request.
    pub header_names: Vec<String>,
}
