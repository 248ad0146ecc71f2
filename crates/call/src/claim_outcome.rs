//! Outcome of a claim.

use crate::stored_answer::StoredAnswer;

/// Outcome of the claim of an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// This call owns the key at this revision, and it is the only one that may be sent.
    Owned { revision: u64 },
    /// The call that owns the key has run, and this is its answer.
    Stored(StoredAnswer),
    /// Another call owns the key, and its end is not recorded in the platform.
    Busy { revision: u64, created_unix_ms: u64 },
    /// The call that owns the key was sent, and its outcome is unknown.
    Unknown,
    /// The key was used for a different request.
    OtherRequest,
    /// The platform could not be reached. Neither this entry nor another one may send the call.
    Unavailable,
}
