//! Digest that tells two requests with the same key apart.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 of service, method, path and body in lower-case hexadecimal digits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestDigest(String);

impl RequestDigest {
    /// Digest of a request. Each part is preceded by its length, so that no two requests share an encoding.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect())
    }
}
