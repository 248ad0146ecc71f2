//! Fake platform as a separate process.

use stand::cli::PlatformOptions;
use std::io::Result as IoResult;

#[tokio::main]
async fn main() -> IoResult<()> {
    let options: PlatformOptions = argh::from_env();
    options.run().await
}
