//! Answer that a claim keeps for a repeated call.

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Serialize};

/// Largest body that is stored. A claim then takes at most 100 KB of the 1 MB that a platform value may have.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Largest size of all stored headers.
const STORED_HEADERS_BYTES: usize = 8 * 1024;

/// Answer of an upstream as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers with textual values.
    pub headers: Vec<(String, String)>,
    /// Body in Base64; none if the answer was too large to store.
    body: Option<String>,
}

impl StoredAnswer {
    /// Stores an answer; of one over the size limits only the status is kept.
    pub fn new(status: u16, headers: Vec<(String, String)>, body: &[u8]) -> Self {
        let headers_bytes: usize =
            headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        if body.len() > MAX_STORED_BODY_BYTES || headers_bytes > STORED_HEADERS_BYTES {
            return Self { status, headers: Vec::new(), body: None };
        }
        Self { status, headers, body: Some(BASE64_STANDARD.encode(body)) }
    }

    /// The body; `None` if it was too large to store.
    pub fn body(&self) -> Option<Vec<u8>> {
        BASE64_STANDARD.decode(self.body.as_ref()?).ok()
    }
}
