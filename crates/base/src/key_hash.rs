//! Hash under which a bearer key is stored.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 of a bearer key in lower-case hexadecimal digits. Keys are random and long, so no salt is needed.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeyHash(String);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        Self(digest.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// The hash as hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
