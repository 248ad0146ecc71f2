//! Generates the API keys of client accounts and operators.

use serde::{Deserialize, Serialize};
use std::fmt::{Debug, Formatter, Result as FmtResult};

/// Number of random bytes in a key. A key with 32 random bytes cannot be guessed, so its hash needs no salt.
const KEY_RANDOM_BYTES: usize = 32;

/// Generated key. It is returned to the operator once, and only its hash is stored.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct NewKey {
    /// Client account or operator that the key belongs to.
    pub owner: String,
    /// The key in clear text, `gr-` followed by hexadecimal digits.
    pub key: String,
}

impl NewKey {
    /// Generates a random key for the client account or operator with this name.
    pub fn generate(owner: &str) -> Self {
        let bytes: [u8; KEY_RANDOM_BYTES] = rand::random();
        let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        Self { owner: owner.to_owned(), key: format!("gr-{digits}") }
    }
}

impl Debug for NewKey {
    /// Omits the key, so that it cannot get into a log.
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.debug_struct("NewKey").field("owner", &self.owner).finish_non_exhaustive()
    }
}
