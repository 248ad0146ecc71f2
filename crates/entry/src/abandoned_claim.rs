//! Claim of an idempotency key whose call was refused, and which may have been written nevertheless.

use call::ClaimRecord;
use tokio::time::Instant;

/// Claim whose write outcome was lost and whose call was refused as not run.
#[derive(Debug)]
pub(crate) struct AbandonedClaim {
    pub kv_key: String,
    pub record: ClaimRecord,
    /// Time of the next read.
    pub read_at: Instant,
    /// Reads left before a claim that is not found counts as never written.
    pub reads_left: u32,
}
