//! Versions of replicated texts and their order.

use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hasher};

/// Version of a replicated text, ordered by number and then by hash.
///
/// Two daemons that read the platform's VM list may assign the same number to different texts. The hash breaks the tie
/// in the same way on every daemon.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version {
    /// Sequence number; 0 if there is no text yet.
    pub number: u64,
    /// Hash of the text, as computed by `Version::of`.
    pub hash: u64,
}

impl Version {
    /// Returns the version of `text` with the given number.
    pub fn of(number: u64, text: &str) -> Self {
        // `DefaultHasher::new` has fixed keys, so all daemons of one release compute the same hash.
        let mut hasher = DefaultHasher::new();
        hasher.write(text.as_bytes());
        Self { number, hash: hasher.finish() }
    }
}
