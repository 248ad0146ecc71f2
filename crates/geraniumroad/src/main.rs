//! Program `geraniumroad`: parses the command line, executes the command and returns the exit code.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

use geraniumroad::Cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    if cli.version {
        println!("geraniumroad {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = &cli.command else {
        eprintln!("a command is needed; see geraniumroad --help");
        return ExitCode::from(2);
    };
    match geraniumroad::execute(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}
