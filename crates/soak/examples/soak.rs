//! Program of the soak.

use soak::{Cli, SoakError};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    match soak::run(&cli).await {
        Ok(report) => {
            println!("seed={} {}", cli.seed, report.summary());
            for broken in &report.violations {
                println!("broken: {broken}");
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
