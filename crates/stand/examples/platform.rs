//! Platform stand-in as a process of its own.

use argh::FromArgs;
use stand::{Platform, PlatformSettings};
use std::{io::Result as IoResult, net::SocketAddr, path::PathBuf};
use wire::platform::VmList;

/// Platform stand-in.
#[derive(FromArgs)]
struct Options {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// file with the configuration document in JSON
    #[argh(option)]
    config: Option<PathBuf>,
    /// file with the list of VMs in JSON
    #[argh(option)]
    vms: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> IoResult<()> {
    let options: Options = argh::from_env();
    let platform = Platform::start(PlatformSettings { listen: options.listen }).await?;
    if let Some(path) = &options.config {
        platform.put("config/current", &std::fs::read_to_string(path)?);
    }
    if let Some(path) = &options.vms {
        let list: VmList = serde_json::from_str(&std::fs::read_to_string(path)?)?;
        platform.set_vms(list.vms);
    }
    println!("ready addr={}", platform.addr());
    std::future::pending().await
}
