//! Batch slots that are reserved for short requests.

/// Number of batch slots for each reserved one.
///
/// A single reserved slot is too few for a large batch: entries that hold the same stale report may each fill the last
/// free slot.
const SLOTS_PER_RESERVED_SLOT: u32 = 8;

/// Returns the number of batch slots that only short requests may use.
///
/// At least one slot is reserved, except at an engine with a single slot, which could then run no other requests.
pub fn short_reserve(batch_limit: u32) -> u32 {
    match batch_limit {
        0 | 1 => 0,
        _ => (batch_limit / SLOTS_PER_RESERVED_SLOT).max(1),
    }
}
