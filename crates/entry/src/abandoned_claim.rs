//! Record of a claim that may have been written to the platform although its call was refused.

use call::ClaimRecord;
use tokio::time::Instant;

/// Claim of an idempotency key whose write got no response, so that its call was refused as not run.
#[derive(Debug)]
pub(crate) struct AbandonedClaim {
    pub kv_key: String,
    pub record: ClaimRecord,
    /// Time at which the claim is next read from the platform.
    pub read_at: Instant,
    /// Reads left before a claim that is not found counts as never written.
    pub reads_left: u32,
}
