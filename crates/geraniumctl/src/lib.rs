//! Command line and commands of `geraniumctl`, the program with which operators administer the daemons.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod access;
mod burn_page;
mod burn_plot;
mod burn_text;
mod cli;
mod commands;
mod ctl_error;
mod explain;
mod intent_file;
mod log_line;
mod loss_cause;
mod loss_group;
mod losses;
mod render;
mod statements;

pub use crate::{
    cli::{Cli, Command},
    commands::execute,
    ctl_error::CtlError,
    explain::{explain, explain_missing},
    log_line::LogLine,
    loss_cause::LossCause,
    loss_group::LossGroup,
    losses::{losses, losses_text},
};

use argh::FromArgs;
use tokio::runtime::Builder;

/// Exit code if the command line cannot be parsed.
const USAGE_EXIT_CODE: u8 = 2;

/// Executes the command in `args`, which do not include the program's name. Prints its output and returns the exit code
/// of the program.
pub fn run(args: &[&str]) -> u8 {
    let cli = match Cli::from_args(&["geraniumctl"], args) {
        Ok(cli) => cli,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return 0;
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return USAGE_EXIT_CODE;
        }
    };
    if cli.version {
        println!("geraniumctl {}", env!("CARGO_PKG_VERSION"));
        return 0;
    }
    let is_json = cli.command.as_ref().is_some_and(Command::is_json);
    let outcome = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CtlError::from)
        .and_then(|runtime| runtime.block_on(execute(&cli)));
    match outcome {
        Ok(text) => {
            println!("{text}");
            0
        }
        Err(err) => {
            if let (true, Some(json)) = (is_json, err.json()) {
                println!("{json}");
            }
            eprintln!("{err}");
            err.exit_code()
        }
    }
}
