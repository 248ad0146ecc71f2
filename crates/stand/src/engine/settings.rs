//! Settings of the engine stand-in.

use std::net::{Ipv4Addr, SocketAddr};

/// Settings of one engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Seed of the sampling.
    pub seed: u64,
    /// Time between tokens.
    pub token_gap_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self { listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), seed: 1, token_gap_ms: 41 }
    }
}
