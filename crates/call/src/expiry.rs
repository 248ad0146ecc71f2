//! Selection of expired claims.

use crate::claim_record::ClaimRecord;

/// Time for which the platform keeps a claim after it was made.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Returns the keys and revisions of at most `limit` claims that are older than `CLAIM_RETENTION_MS`.
///
/// The removal must be conditional on the revision, so that a claim that was made again in the meantime is kept.
pub fn expired_claims<'c>(
    claims: impl IntoIterator<Item = (&'c str, &'c ClaimRecord, u64)>,
    now_unix_ms: u64,
    limit: usize,
) -> Vec<(&'c str, u64)> {
    claims
        .into_iter()
        .filter(|(_, record, _)| {
            now_unix_ms.saturating_sub(record.created_unix_ms) > CLAIM_RETENTION_MS
        })
        .take(limit)
        .map(|(key, _, revision)| (key, revision))
        .collect()
}
