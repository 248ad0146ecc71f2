//! Claim that was refused as not run and may exist.

use call::ClaimRecord;
use tokio::time::Instant;

/// Claim whose writes were lost and whose call was refused as not run.
#[derive(Debug)]
pub(crate) struct AbandonedClaim {
    pub kv_key: String,
    pub record: ClaimRecord,
    /// Time of the next read.
    pub read_at: Instant,
    /// Reads that may still find no claim before it is taken as never written.
    pub reads_left: u32,
}
