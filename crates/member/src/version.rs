//! Version of a text.

use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hasher};

/// Version of a text, ordered by number and then by hash.
///
/// Two daemons that read the platform's VM list may give different texts the same number; the hash decides between them
/// in the same way everywhere.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version {
    /// Number; 0 before any text.
    pub number: u64,
    /// Hash of the text.
    pub hash: u64,
}

impl Version {
    /// Version of `text` under a number.
    pub fn of(number: u64, text: &str) -> Self {
        // `DefaultHasher::new` has fixed keys, so all daemons of one release compute the same hash.
        let mut hasher = DefaultHasher::new();
        hasher.write(text.as_bytes());
        Self { number, hash: hasher.finish() }
    }
}
