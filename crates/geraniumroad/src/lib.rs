//! Command line and commands of the daemon `geraniumroad`.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod admin_adapter;
mod cli;
mod dev;
mod line_log;
mod logging;
mod memory_upkeep;
mod metrics_upkeep;
mod orders_adapter;
mod run;
mod run_error;
mod serve;
mod signals;
mod supervisor;

pub use crate::{
    cli::{CheckOptions, Cli, Command, DevOptions, RunOptions, ServeOptions},
    line_log::bounded_line,
    memory_upkeep::MemoryUpkeep,
    metrics_upkeep::maintain_metrics,
    run_error::RunError,
    supervisor::keep_running,
};

/// Runs a command until it is finished or, if it serves, until the process is told to stop.
///
/// # Errors
///
/// Fails if the command fails, with the reason.
pub fn execute(command: &Command) -> Result<(), RunError> {
    match command {
        Command::Check(options) => run::check(&options.settings),
        Command::Dev(options) => dev::dev(options),
        Command::Run(options) => run::run(&options.settings),
        Command::Serve(options) => serve::serve(&options.settings_path()?),
    }
}
