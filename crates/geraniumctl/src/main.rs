//! Operators' program of geraniumroad.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod cli;

use crate::cli::Cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    if cli.version {
        println!("geraniumctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    eprintln!("a command is needed; see geraniumctl --help");
    ExitCode::from(2)
}
