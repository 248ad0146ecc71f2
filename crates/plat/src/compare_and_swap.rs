//! Compare-and-swap that resolves a lost response.

use crate::{kv::Kv, platform_error::PlatformError, swap_outcome::SwapOutcome};
use std::time::Duration;
use wire::platform::{KvEntry, KvWrite};

/// Tries of one write, each followed by reading back.
const TRIES: u32 = 3;

/// Pause between two tries.
const PAUSE_MS: u64 = 50;

/// Writes `value` if `key` has `expect_revision`. After a lost response it reads back and asks `is_ours` whether the
/// entry shows the write; while the key is still at the expected revision it repeats the write, which is harmless
/// because only one of the repetitions can meet that revision.
pub async fn compare_and_swap(
    kv: &impl Kv,
    key: &str,
    value: String,
    expect_revision: u64,
    is_ours: impl Fn(&KvEntry) -> bool,
) -> SwapOutcome {
    let write = KvWrite { value, expect_revision: Some(expect_revision), lease_id: None };
    let mut last_error = None;
    for number in 0..TRIES {
        if number > 0 {
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        match kv.put(key, &write).await {
            Ok(revision) => return SwapOutcome::Written(revision),
            Err(PlatformError::Conflict(current)) if is_ours(&current) => {
                return SwapOutcome::Found(*current);
            }
            // A platform that fell back to an older state may come forward again, which leaves the outcome open.
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
