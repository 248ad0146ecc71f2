//! Steps that a claim's state machine requests from its driver.

use crate::claim_record::ClaimRecord;

/// Next step of a state machine that writes a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KvStep<T> {
    /// Write the record if the key has this revision; 0 means that the key must not exist.
    Write { record: ClaimRecord, expect_revision: u64 },
    /// Read the key.
    Read,
    /// The state machine has ended with this result.
    Done(T),
}
