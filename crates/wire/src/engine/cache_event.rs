//! Events of an engine's prefix cache.

use serde::{Deserialize, Serialize};

/// What happened to a block of the prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block is in the cache now.
    Stored,
    /// The block is no longer in the cache.
    Removed,
}

/// One event of the prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number of the event, from 1. A gap in the numbers means that events were lost.
    pub number: u64,
    /// Whether the block was stored or removed.
    pub kind: CacheEventKind,
    /// Hash of the context up to the end of the block, as 16 hexadecimal digits.
    pub block: String,
}

/// Response to `GET /cache_events?after=N`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEventList {
    /// Number of the newest published event, even if that event was lost. The next request passes it as `after`.
    pub last_number: u64,
    /// Published events in order of their numbers.
    pub events: Vec<CacheEvent>,
}
