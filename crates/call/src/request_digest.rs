//! Digests that distinguish different requests with one idempotency key.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 digest of the parts of a request, such as its service, method, path and body, in lower-case hexadecimal
/// digits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestDigest(String);

impl RequestDigest {
    /// Computes the digest of a request from its parts. Each part is preceded by its length, so that different parts
    /// never have equal encodings.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect())
    }
}
