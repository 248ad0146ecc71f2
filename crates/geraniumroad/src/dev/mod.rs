//! Command `dev`: runs a fake platform, fake engines and an entry (the daemon that serves callers) in one process.

mod engine_failure;
mod fleet;
mod once;
mod report;

use self::fleet::DevFleet;
use crate::{cli::DevOptions, logging, run_error::RunError};
use conf::LogSettings;
use std::time::Duration;
use tokio::runtime::Builder;

/// Interval in milliseconds at which an engine is killed while `dev` runs without `--once`.
const KILL_INTERVAL_MS: u64 = 2_000;

/// Starts the fleet of `dev` and runs it until SIGINT, or with `--once` until every answer has been checked.
///
/// # Errors
///
/// A component could not be started, or with `--once` an answer was incomplete or no engine was killed.
pub fn dev(options: &DevOptions) -> Result<(), RunError> {
    let level = if options.once { log::LevelFilter::Error } else { log::LevelFilter::Info };
    logging::install(&LogSettings { level, ..LogSettings::default() })?;
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let fleet = DevFleet::start(options.seed).await?;
        if options.once { once::run(fleet, options.json).await } else { serve(fleet).await }
    })
}

/// Serves callers until SIGINT, and kills and replaces an engine at regular intervals.
async fn serve(mut fleet: DevFleet) -> Result<(), RunError> {
    let addr = fleet.addr();
    let key = DevFleet::KEY;
    let model = DevFleet::MODEL;
    println!("address:    http://{addr}");
    println!("client key: {key}");
    println!(
        "curl -N http://{addr}/v1/completions -H 'Authorization: Bearer {key}' \
         -H 'Content-Type: application/json' \
         -d '{{\"model\":\"{model}\",\"prompt\":\"a peal plan\",\"max_tokens\":200,\"stream\":true}}'"
    );
    let interval = Duration::from_millis(KILL_INTERVAL_MS);
    loop {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => break,
            () = tokio::time::sleep(interval) => {
                let id = fleet.kill_engine().await?.engine;
                log::info!("dev: engine {id} was killed and replaced");
            }
        }
    }
    fleet.close().await;
    Ok(())
}
