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
    /// Generated tokens a second over all entries; no limit if missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<u32>,
    /// Generations at a time over all entries; no limit if missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_generations: Option<u32>,
}

impl Account {
    /// Account with one key and no limits but that of its requests.
    pub fn new(name: &AccountName, key_hash: KeyHash, requests_per_s: u32) -> Self {
        Self {
            name: name.clone(),
            key_hashes: vec![key_hash],
            requests_per_s,
            tokens_per_s: None,
            concurrent_generations: None,
        }
    }
}
