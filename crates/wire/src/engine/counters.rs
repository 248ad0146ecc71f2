//! Counters in the state that an engine reports.

use serde::{Deserialize, Serialize};

/// Work that an engine has done since it started.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineCounters {
    /// Accepted completion requests.
    pub requests: u64,
    /// Accepted completion requests that arrived after the engine announced that it is leaving.
    pub requests_while_leaving: u64,
    /// Completion requests that the engine refused.
    pub refused: u64,
    /// Tokens that the engine generated.
    pub decoded_tokens: u64,
    /// Context tokens that were computed before the first token of an answer.
    pub prefilled_tokens: u64,
    /// Context tokens that came from the prefix cache.
    pub cached_tokens: u64,
    /// Sequences that found a part of their context in the prefix cache.
    pub cache_hits: u64,
    /// Sequences that found nothing in the prefix cache.
    pub cache_misses: u64,
    /// Sequences that were generated to their end.
    pub finished: u64,
    /// Running and queued sequences whose connection was closed before their end.
    pub cancelled: u64,
    /// Orders that took effect.
    pub orders: u64,
    /// Orders with a stale fencing token, whether rejected or not.
    pub stale_orders: u64,
    /// Orders whose sender had a wrong key.
    pub unauthenticated_orders: u64,
    /// Weight transfers that the weight store refused because of its rate limit.
    pub weight_refusals: u64,
}
