//! Places for short requests in the batch of an engine.

/// Part of an engine's batch that only short requests may use: one place in this many, and at least one.
/// Entries that see the same stale report may each take the last open place, so one place is too few.
const SHORT_RESERVE_PART: u32 = 8;

/// Places that only short requests may use. An engine with a single place has none, since it could then do nothing else.
pub fn short_reserve(batch_limit: u32) -> u32 {
    match batch_limit {
        0 | 1 => 0,
        _ => (batch_limit / SHORT_RESERVE_PART).max(1),
    }
}
