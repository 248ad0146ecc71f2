//! Outcome of a compare-and-swap whose response may have been lost.

use crate::platform_error::PlatformError;
use wire::platform::KvEntry;

/// Outcome of a compare-and-swap, determined by its response or by reading the key back.
#[derive(Debug)]
pub enum SwapOutcome {
    /// The write was acknowledged and has this revision.
    Written(u64),
    /// The current entry, which a later writer may have written, shows that the write took effect.
    Found(KvEntry),
    /// The key is past the expected revision and the current entry does not contain the write, which therefore cannot
    /// take effect any more. A missing key has revision 0.
    Refused(KvEntry),
    /// The write may have taken effect, or may still take effect. The last error is the cause.
    Unknown(PlatformError),
}
