//! Parameters with which a fake engine starts, and their defaults.

use crate::engine::fencing::FencingPolicy;
use std::net::{Ipv4Addr, SocketAddr};
use wire::engine::{EngineRole, LoadedVersion};

/// Settings of the fake engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Seed of the sampling and of the loss of cache events.
    pub seed: u64,
    /// Time in milliseconds between two steps of the scheduler.
    pub token_gap_ms: u64,
    /// Number of tokens that each step generates per sequence.
    pub tokens_per_step: u32,
    /// Largest number of sequences in the batch, for which each step generates tokens.
    pub batch_limit: usize,
    /// Largest number of sequences that wait for a place in the batch; further requests are refused.
    pub queue_limit: usize,
    /// Time in microseconds to compute one context token. Prefills run one after another.
    pub prefill_us_per_token: u64,
    /// Size in bytes of a block of the prefix cache.
    pub cache_block_bytes: usize,
    /// Largest number of blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Delay in milliseconds until a cache event is published.
    pub cache_event_delay_ms: u64,
    /// Percentage of the cache events that are never published.
    pub cache_event_loss_pct: u32,
    /// Age in milliseconds of the load that `GET /load` reports.
    pub load_lag_ms: u64,
    /// Model versions that are loaded at the start; `None` serves every version.
    pub loaded: Option<Vec<LoadedVersion>>,
    /// Role at the start; orders can change it.
    pub role: EngineRole,
    /// Handling of orders with a stale fencing token.
    pub fencing: FencingPolicy,
    /// Bearer key that orders must have; `None` disables the check.
    pub order_key: Option<String>,
    /// Address of the weight store that versions are loaded from; `None` loads them without a transfer.
    pub weight_store: Option<SocketAddr>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 1,
            token_gap_ms: 41,
            tokens_per_step: 1,
            batch_limit: 256,
            queue_limit: 4_096,
            prefill_us_per_token: 20,
            cache_block_bytes: 256,
            cache_blocks: 4_096,
            cache_event_delay_ms: 200,
            cache_event_loss_pct: 5,
            load_lag_ms: 100,
            loaded: None,
            role: EngineRole::General,
            fencing: FencingPolicy::Reject,
            order_key: None,
            weight_store: None,
        }
    }
}
