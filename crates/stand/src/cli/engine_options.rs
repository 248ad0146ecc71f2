//! Command-line options of the fake engine.

use crate::{
    cli::{engine_role_name, fencing_name, version_name},
    engine::{Engine, EngineSettings, FencingPolicy},
};
use argh::{FromArgs, TopLevelCommand};
use std::{io::Result as IoResult, net::SocketAddr};
use wire::engine::{EngineRole, LoadedVersion};

/// Engine stand-in.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineOptions {
    /// address to listen on
    #[argh(option)]
    pub listen: SocketAddr,
    /// seed of the sampling
    #[argh(option, default = "EngineSettings::default().seed")]
    pub seed: u64,
    /// time between two steps in milliseconds
    #[argh(option, default = "EngineSettings::default().token_gap_ms")]
    pub token_gap_ms: u64,
    /// tokens of a sequence in one step
    #[argh(option, default = "EngineSettings::default().tokens_per_step")]
    pub tokens_per_step: u32,
    /// largest number of sequences in the batch
    #[argh(option, default = "EngineSettings::default().batch_limit")]
    pub batch_limit: usize,
    /// largest number of sequences in the queue
    #[argh(option, default = "EngineSettings::default().queue_limit")]
    pub queue_limit: usize,
    /// time to compute one context token in microseconds
    #[argh(option, default = "EngineSettings::default().prefill_us_per_token")]
    pub prefill_us_per_token: u64,
    /// length of a block of the prefix cache in bytes
    #[argh(option, default = "EngineSettings::default().cache_block_bytes")]
    pub cache_block_bytes: usize,
    /// largest number of blocks in the prefix cache
    #[argh(option, default = "EngineSettings::default().cache_blocks")]
    pub cache_blocks: usize,
    /// delay of the cache events in milliseconds
    #[argh(option, default = "EngineSettings::default().cache_event_delay_ms")]
    pub cache_event_delay_ms: u64,
    /// lost cache events in percent
    #[argh(option, default = "EngineSettings::default().cache_event_loss_pct")]
    pub cache_event_loss_pct: u32,
    /// age of the reported load in milliseconds
    #[argh(option, default = "EngineSettings::default().load_lag_ms")]
    pub load_lag_ms: u64,
    /// loaded version as model:version or model:version:adapter,adapter; may be repeated; without it, every version is
    /// served
    #[argh(option, from_str_fn(version_name::parse))]
    pub load: Vec<LoadedVersion>,
    /// role: general, long or short
    #[argh(option, default = "EngineRole::General", from_str_fn(engine_role_name::parse))]
    pub role: EngineRole,
    /// treatment of old fencing tokens: reject or ignore
    #[argh(option, default = "FencingPolicy::Reject", from_str_fn(fencing_name::parse))]
    pub fencing: FencingPolicy,
    /// bearer key that orders must carry; without it, the sender is not checked
    #[argh(option)]
    pub order_key: Option<String>,
    /// address of the weight store; without it, versions load at once
    #[argh(option)]
    pub weight_store: Option<SocketAddr>,
}

impl TopLevelCommand for EngineOptions {}

impl EngineOptions {
    /// Starts the engine and serves until the process is terminated.
    ///
    /// # Errors
    ///
    /// Returns the error of `bind`.
    pub async fn run(&self) -> IoResult<()> {
        let engine = Engine::start(self.settings()).await?;
        println!("ready addr={}", engine.addr());
        std::future::pending().await
    }

    fn settings(&self) -> EngineSettings {
        EngineSettings {
            listen: self.listen,
            seed: self.seed,
            token_gap_ms: self.token_gap_ms,
            tokens_per_step: self.tokens_per_step,
            batch_limit: self.batch_limit,
            queue_limit: self.queue_limit,
            prefill_us_per_token: self.prefill_us_per_token,
            cache_block_bytes: self.cache_block_bytes,
            cache_blocks: self.cache_blocks,
            cache_event_delay_ms: self.cache_event_delay_ms,
            cache_event_loss_pct: self.cache_event_loss_pct,
            load_lag_ms: self.load_lag_ms,
            loaded: (!self.load.is_empty()).then(|| self.load.clone()),
            role: self.role,
            fencing: self.fencing,
            order_key: self.order_key.clone(),
            weight_store: self.weight_store,
        }
    }
}
