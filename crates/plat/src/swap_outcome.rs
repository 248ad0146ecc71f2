//! Outcome of a compare-and-swap.

use crate::platform_error::PlatformError;
use wire::platform::KvEntry;

/// Outcome of a compare-and-swap, determined by the response or, if that was lost, by reading the key back.
#[derive(Debug)]
pub enum SwapOutcome {
    /// The write was acknowledged, and the key has this revision since then.
    Written(u64),
    /// The current entry, which a later writer may have written, shows that the write took effect.
    Found(KvEntry),
    /// The key is past the expected revision and the current entry does not contain the write, which therefore cannot
    /// take effect any more. A missing key has revision 0.
    Refused(KvEntry),
    /// The write may have taken effect, or may still take effect. The error is the last one that occurred.
    Unknown(PlatformError),
}
