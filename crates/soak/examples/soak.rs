//! Program of the soak.

use soak::{Cli, SoakError};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    match soak::run(&cli).await {
        Ok(verdict) => {
            println!("seed={} {}", cli.seed, verdict.summary());
            for broken in &verdict.broken {
                println!("broken: {broken}");
            }
            ExitCode::from(u8::from(!verdict.broken.is_empty()))
        }
        Err(err) => {
            let err: SoakError = err;
            eprintln!("{err}");
            ExitCode::from(2)
        }
    }
}
