//! Result of claiming a key.

use crate::stored_answer::StoredAnswer;

/// Result of claiming a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// This call owns the key at this revision and alone may be sent.
    Owned { revision: u64 },
    /// The key's call has run; this is its answer.
    Stored(StoredAnswer),
    /// Another call owns the key and has not ended, as far as the platform knows.
    Busy { revision: u64, created_unix_ms: u64 },
    /// The key's call was sent, and its outcome is not known.
    Unknown,
    /// The key belongs to another request.
    OtherRequest,
    /// The platform could not be reached. The call must not be sent, by this entry or another.
    Unavailable,
}
