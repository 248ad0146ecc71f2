//! Answer that is stored in a claim, to be replayed to later calls with the same key.

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Serialize};

/// Largest body that is stored. A claim then takes up at most 100 KB of the 1 MB that a platform value may have.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Largest total size of the headers that are stored.
const MAX_STORED_HEADERS_BYTES: usize = 8 * 1024;

/// Answer of an upstream, as stored in a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status code of the answer.
    pub status: u16,
    /// Names and values of the headers whose values are text.
    pub headers: Vec<(String, String)>,
    /// Body in Base64; `None` if the body or the headers were too large to store.
    body: Option<String>,
}

impl StoredAnswer {
    /// Creates a stored answer. If the body or the headers exceed their size limit, only the status is stored.
    pub fn new(status: u16, headers: Vec<(String, String)>, body: &[u8]) -> Self {
        let headers_bytes: usize =
            headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        if body.len() > MAX_STORED_BODY_BYTES || headers_bytes > MAX_STORED_HEADERS_BYTES {
            return Self { status, headers: Vec::new(), body: None };
        }
        Self { status, headers, body: Some(BASE64_STANDARD.encode(body)) }
    }

    /// Returns the body, or `None` if the body or the headers were too large to store.
    pub fn body(&self) -> Option<Vec<u8>> {
        BASE64_STANDARD.decode(self.body.as_ref()?).ok()
    }
}
