//! Results that a claim's state machine receives from the platform.

use crate::claim_record::ClaimRecord;

/// Result of a call to the key-value service of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KvInput {
    /// The write took effect, and the key is now at `revision`.
    Written { revision: u64 },
    /// The key has this record at `revision`. This is the result of a read, or of a write that expected another
    /// revision.
    Found { record: ClaimRecord, revision: u64 },
    /// The key does not exist.
    Absent,
    /// No valid answer arrived from the platform. A write may have taken effect, or may still take effect later.
    Lost,
}
