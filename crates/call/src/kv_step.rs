//! Call to the platform that a claim asks for.

use crate::claim_record::ClaimRecord;

/// Next step of a machine that writes a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KvStep<T> {
    /// Write the record if the key has this revision.
    Write { record: ClaimRecord, expect_revision: u64 },
    /// Read the key.
    Read,
    /// The machine has ended.
    Done(T),
}
