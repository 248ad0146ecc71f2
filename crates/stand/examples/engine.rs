//! Engine stand-in as a process of its own.

use argh::FromArgs;
use stand::{Engine, EngineSettings};
use std::{io::Result as IoResult, net::SocketAddr};

/// Engine stand-in.
#[derive(FromArgs)]
struct Options {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// seed of the sampling
    #[argh(option, default = "1")]
    seed: u64,
    /// time between tokens in milliseconds
    #[argh(option, default = "41")]
    token_gap_ms: u64,
}

#[tokio::main]
async fn main() -> IoResult<()> {
    let options: Options = argh::from_env();
    let settings = EngineSettings {
        listen: options.listen,
        seed: options.seed,
        token_gap_ms: options.token_gap_ms,
    };
    let engine = Engine::start(settings).await?;
    println!("ready addr={}", engine.addr());
    std::future::pending().await
}
