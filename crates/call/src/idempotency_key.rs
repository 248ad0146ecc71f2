//! Idempotency key that a caller sends with a request.

use base::AccountName;
use quick_error::quick_error;

/// Maximum size of an idempotency key.
const MAX_KEY_SIZE_BYTES: usize = 128;

quick_error! {
    /// Why a text is not a valid idempotency key.
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

/// Valid idempotency key. Its characters need no escaping in the path of a platform key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// Returns the key under which the key-value service of the platform stores the claim.
    pub fn kv_key(&self, account: &AccountName) -> String {
        format!("calls/{account}/{}", self.0)
    }
}

impl TryFrom<&str> for IdempotencyKey {
    type Error = IdempotencyKeyError;

    fn try_from(raw: &str) -> Result<Self, IdempotencyKeyError> {
        if raw.is_empty() || raw.len() > MAX_KEY_SIZE_BYTES {
            return Err(IdempotencyKeyError::Size(raw.len()));
        }
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
        if !raw.chars().all(is_allowed) || !raw.starts_with(|c: char| c.is_ascii_alphanumeric()) {
            return Err(IdempotencyKeyError::Character);
        }
        Ok(Self(raw.into()))
    }
}
