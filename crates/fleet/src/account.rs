//! Client account.

use base::{AccountName, KeyHash};
use serde::{Deserialize, Serialize};

/// A client account with its keys and limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// Name.
    pub name: AccountName,
    /// Hashes of the bearer keys that are accepted.
    pub key_hashes: Vec<KeyHash>,
    /// Requests a second over all entries.
    pub requests_per_s: u32,
}
