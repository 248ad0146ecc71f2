//! Fake plain service as a separate process.

use argh::FromArgs;
use stand::ServiceOptions;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let options = match ServiceOptions::from_args(&["service"], &args) {
        Ok(options) => options,
        Err(exit) => {
            println!("{}", exit.output);
            return if exit.status.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(2) };
        }
    };
    match options.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}
