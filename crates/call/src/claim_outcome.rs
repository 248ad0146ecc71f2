//! Outcomes of claims, which decide whether a call may be sent.

use crate::stored_answer::StoredAnswer;

/// Outcome of the claim of an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The platform stores the claim of this call at `revision`. No other call with the key may be sent.
    Owned { revision: u64 },
    /// The call that owns the key has run, and this is its answer.
    Stored(StoredAnswer),
    /// Another call owns the key, and its outcome is not recorded in the platform. The platform stores its claim, which
    /// was made at `created_unix_ms`, at `revision`.
    Busy { revision: u64, created_unix_ms: u64 },
    /// The call that owns the key was sent, and its outcome is unknown.
    Unknown,
    /// The key was used for a different request.
    OtherRequest,
    /// The platform gave no valid answer, so the claim may have been stored or not. Neither this entry nor another one
    /// may send the call.
    Unavailable,
}
