//! Compare-and-swap that determines its outcome also when the response is lost.

use crate::{kv::Kv, platform_error::PlatformError, swap_outcome::SwapOutcome};
use std::time::Duration;
use wire::platform::{KvEntry, KvWrite};

/// Number of attempts to write. The key is read back after each failed attempt.
const ATTEMPTS: u32 = 3;

/// Pause between two attempts to write.
const PAUSE_MS: u64 = 50;

/// Writes `value` if `key` is at the revision `expect_revision`.
///
/// After a failed write the key is read back, and `is_ours` tells whether the entry that was read contains the write.
/// While the key is still at the expected revision, the write is retried. This is safe, because at most one of the
/// attempts can find the key at that revision.
pub async fn compare_and_swap(
    kv: &impl Kv,
    key: &str,
    value: String,
    expect_revision: u64,
    is_ours: impl Fn(&KvEntry) -> bool,
) -> SwapOutcome {
    let write = KvWrite { value, expect_revision: Some(expect_revision), lease_id: None };
    let mut last_error = None;
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        match kv.put(key, &write).await {
            Ok(revision) => return SwapOutcome::Written(revision),
            Err(PlatformError::Conflict(current)) if is_ours(&current) => {
                return SwapOutcome::Found(*current);
            }
            // A revision below the expected one means that the platform was reset to an older state. The
            // platform may return to the newer state, so the outcome is still unknown.
            Err(PlatformError::Conflict(current)) if current.revision > expect_revision => {
                return SwapOutcome::Refused(*current);
            }
            Err(err) => last_error = Some(err),
        }
        match kv.get(key).await {
            Ok(Some(current)) if is_ours(&current) => return SwapOutcome::Found(current),
            Ok(Some(current)) if current.revision > expect_revision => {
                return SwapOutcome::Refused(current);
            }
            Ok(_) => {}
            Err(err) => last_error = Some(err),
        }
    }
    SwapOutcome::Unknown(last_error.unwrap_or(PlatformError::Status(0)))
}
