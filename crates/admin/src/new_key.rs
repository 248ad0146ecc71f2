//! Key that was generated for a plan.

use serde::{Deserialize, Serialize};
use std::fmt::{Debug, Formatter, Result as FmtResult};

/// Random bytes of a key. A key with 32 random bytes cannot be guessed, so its hash needs no salt.
const KEY_SIZE_BYTES: usize = 32;

/// Key that is shown once; only its hash is stored.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct NewKey {
    /// Client account or operator that the key is for.
    pub owner: String,
    /// Key.
    pub key: String,
}

impl NewKey {
    /// Generates a key.
    pub fn generate(owner: &str) -> Self {
        let bytes: [u8; KEY_SIZE_BYTES] = rand::random();
        let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        Self { owner: owner.to_owned(), key: format!("gr-{digits}") }
    }
}

impl Debug for NewKey {
    /// Leaves the key out, so that it cannot get into a log.
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.debug_struct("NewKey").field("owner", &self.owner).finish_non_exhaustive()
    }
}
