//! Hash that is stored instead of a bearer key.

use crate::key_hash_error::KeyHashError;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::str::FromStr;

/// SHA-256 of a bearer key in lower-case hexadecimal digits. It has no salt, because keys are long and random.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeyHash(String);

impl KeyHash {
    /// Computes the hash of a bearer key.
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        Self(digest.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// Returns the hash as 64 lower-case hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(raw: &str) -> Result<Self, KeyHashError> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if raw.len() == 64 && raw.bytes().all(is_digit) {
            Ok(Self(raw.to_owned()))
        } else {
            Err(KeyHashError::Digits)
        }
    }
}
