//! Roles in which the experiment program starts itself as a process of a cluster.

use crate::bench_error::BenchError;
use argh::FromArgs;
use geraniumroad::{Command, RunOptions};
use stand::{
    ServiceOptions,
    cli::{EngineOptions, PlatformOptions, ProxyOptions},
};
use std::{io::Result as IoResult, path::PathBuf};
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
    Ctl(CtlOptions),
    Daemon(DaemonOptions),
    Engine(EngineOptions),
    Platform(PlatformOptions),
    Proxy(ProxyOptions),
    Service(ServiceOptions),
}

/// Operators' program; address and key come from the environment.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ctl")]
struct CtlOptions {
    /// command and its arguments
    #[argh(positional, greedy)]
    args: Vec<String>,
}

/// The daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "daemon")]
struct DaemonOptions {
    /// settings file in TOML
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the role that `options` selects in this process. Returns when the daemon or the operators' program has ended;
/// the fakes run until the process is terminated.
///
/// # Errors
///
/// The role could not start, the daemon ended with an error, or the operators' program ended with an exit code other
/// than 0.
pub fn run(options: &RoleOptions) -> Result<(), BenchError> {
    match &options.role {
        Role::Ctl(ctl) => {
            let args: Vec<&str> = ctl.args.iter().map(String::as_str).collect();
            match geraniumctl::run(&args) {
                0 => Ok(()),
                code => Err(BenchError::Exit(code)),
            }
        }
        Role::Daemon(daemon) => {
            let settings = daemon.settings.clone();
            Ok(geraniumroad::execute(&Command::Run(RunOptions { settings }))?)
        }
        Role::Engine(engine) => block_on(engine.run()),
        Role::Platform(platform) => block_on(platform.run()),
        Role::Proxy(proxy) => block_on(proxy.run()),
        Role::Service(service) => block_on(service.run()),
    }
}

fn block_on(role: impl Future<Output = IoResult<()>>) -> Result<(), BenchError> {
    Ok(Builder::new_multi_thread().worker_threads(2).enable_all().build()?.block_on(role)?)
}
