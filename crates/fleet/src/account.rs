//! Client accounts in the configuration document.

use base::{AccountName, KeyHash};
use serde::{Deserialize, Serialize};

/// Client account with its keys and rate limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// Unique name of the account.
    pub name: AccountName,
    /// Hashes of the bearer keys that authenticate the account.
    pub key_hashes: Vec<KeyHash>,
    /// Maximum requests per second, summed over all entries.
    pub requests_per_s: u32,
    /// Maximum generated tokens per second, summed over all entries. `None` means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<u32>,
    /// Maximum concurrent generations, summed over all entries. `None` means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_generations: Option<u32>,
}

impl Account {
    /// Creates an account with one key and a request limit only.
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
