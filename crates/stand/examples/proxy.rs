//! Fault-injecting proxy as a separate process.

use stand::cli::ProxyOptions;
use std::io::Result as IoResult;

#[tokio::main]
async fn main() -> IoResult<()> {
    let options: ProxyOptions = argh::from_env();
    options.run().await
}
