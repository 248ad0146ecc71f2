//! Fake engine as a separate process.

use stand::cli::EngineOptions;
use std::io::Result as IoResult;

#[tokio::main]
async fn main() -> IoResult<()> {
    let options: EngineOptions = argh::from_env();
    options.run().await
}
