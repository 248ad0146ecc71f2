//! Idempotency key of a caller.

use base::AccountName;
use quick_error::quick_error;

/// Longest accepted key.
const KEY_SIZE_BYTES: usize = 128;

quick_error! {
    /// Why an idempotency key is not accepted.
    #[derive(Debug, Eq, PartialEq)]
    pub enum IdempotencyKeyError {
        /// The key is empty or too long.
        Size(size_bytes: usize) {
            display("the key has {size_bytes} bytes; allowed: 1 to 128")
        }
        /// The key has a character that is not allowed, or begins with a punctuation mark.
        Character {
            display("allowed: a-z A-Z 0-9 . _ : -, beginning with a letter or digit")
        }
    }
}

/// Checked idempotency key. Its characters need no escaping in the path of a platform key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// Key of the claim in the platform's key-value service.
    pub fn kv_key(&self, account: &AccountName) -> String {
        format!("calls/{account}/{}", self.0)
    }
}

impl TryFrom<&str> for IdempotencyKey {
    type Error = IdempotencyKeyError;

    fn try_from(raw: &str) -> Result<Self, IdempotencyKeyError> {
        if raw.is_empty() || raw.len() > KEY_SIZE_BYTES {
            return Err(IdempotencyKeyError::Size(raw.len()));
        }
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
        if !raw.chars().all(is_allowed) || !raw.starts_with(|c: char| c.is_ascii_alphanumeric()) {
            return Err(IdempotencyKeyError::Character);
        }
        Ok(Self(raw.into()))
    }
}
