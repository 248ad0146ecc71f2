//! Outcome of a write whose response may have been lost.

use crate::platform_error::PlatformError;
use wire::platform::KvEntry;

/// Outcome of a compare-and-swap after reading back.
#[derive(Debug)]
pub enum SwapOutcome {
    /// The write took effect at this revision.
    Written(u64),
    /// The present entry, possibly of a later writer, shows that the write took effect.
    Found(KvEntry),
    /// The key has left the expected revision and the present entry does not show the write, which therefore cannot
    /// take effect any more. Revision 0 stands for a missing key.
    Refused(KvEntry),
    /// The write may have taken effect, or may still do so.
    Unknown(PlatformError),
}
