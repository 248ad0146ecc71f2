//! Runs a soak and prints its report.

use soak::{Cli, SoakError};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    match soak::run(&cli).await {
        Ok(report) => {
            println!("seed={} {}", cli.seed, report.summary());
            for violation in &report.violations {
                println!("broken: {violation}");
            }
            ExitCode::from(u8::from(!report.violations.is_empty()))
        }
        Err(err) => {
            let err: SoakError = err;
            eprintln!("{err}");
            ExitCode::from(2)
        }
    }
}
