//! Roles that the experiment program plays when it starts itself as a process of a cluster.

use crate::bench_error::BenchError;
use argh::FromArgs;
use geraniumroad::{Command, RunOptions};
use stand::{Engine, EngineSettings, Platform, PlatformSettings, ServiceOptions};
use std::{net::SocketAddr, path::PathBuf};
use tokio::runtime::Builder;

/// Run one process of a cluster.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "role")]
pub struct RoleOptions {
    #[argh(subcommand)]
    role: Role,
}

/// Roles of a process.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Role {
    Daemon(DaemonOptions),
    Engine(EngineOptions),
    Platform(PlatformOptions),
    Service(ServiceOptions),
}

/// The daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "daemon")]
struct DaemonOptions {
    /// settings file in TOML
    #[argh(option)]
    settings: PathBuf,
}

/// Engine stand-in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineOptions {
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

/// Platform stand-in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformOptions {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// Runs a role until the process is ended.
///
/// # Errors
///
/// The role could not start.
pub fn run(options: &RoleOptions) -> Result<(), BenchError> {
    match &options.role {
        Role::Daemon(daemon) => {
            let settings = daemon.settings.clone();
            Ok(geraniumroad::execute(&Command::Run(RunOptions { settings }))?)
        }
        Role::Engine(engine) => {
            let settings = EngineSettings {
                listen: engine.listen,
                seed: engine.seed,
                token_gap_ms: engine.token_gap_ms,
            };
            block_on(async {
                let engine = Engine::start(settings).await?;
                println!("ready addr={}", engine.addr());
                std::future::pending().await
            })
        }
        Role::Service(service) => block_on(async { Ok(service.run().await?) }),
        Role::Platform(platform) => {
            let settings = PlatformSettings { listen: platform.listen };
            block_on(async {
                let platform = Platform::start(settings).await?;
                println!("ready addr={}", platform.addr());
                std::future::pending().await
            })
        }
    }
}

fn block_on(role: impl Future<Output = Result<(), BenchError>>) -> Result<(), BenchError> {
    Builder::new_multi_thread().worker_threads(2).enable_all().build()?.block_on(role)
}
