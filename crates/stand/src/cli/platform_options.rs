//! Command-line options of the fake platform.

use crate::platform::{Platform, PlatformSettings};
use argh::{FromArgs, TopLevelCommand};
use std::{io::Result as IoResult, net::SocketAddr, path::PathBuf};
use wire::platform::VmList;

/// Platform stand-in.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformOptions {
    /// address to listen on
    #[argh(option)]
    pub listen: SocketAddr,
    /// file with the configuration document in JSON
    #[argh(option)]
    pub config: Option<PathBuf>,
    /// file with the list of VMs in JSON
    #[argh(option)]
    pub vms: Option<PathBuf>,
    /// delay until a change of a VM is in the list, in milliseconds
    #[argh(option, default = "PlatformSettings::default().vm_list_lag_ms")]
    pub vm_list_lag_ms: u64,
    /// size of the weights of each version in bytes
    #[argh(option, default = "PlatformSettings::default().weight_size_bytes")]
    pub weight_size_bytes: u64,
    /// rate of the weight store in bytes per second
    #[argh(option, default = "PlatformSettings::default().weight_rate_bytes_per_s")]
    pub weight_rate_bytes_per_s: u64,
    /// largest number of weight transfers at a time
    #[argh(option, default = "PlatformSettings::default().weight_transfers")]
    pub weight_transfers: usize,
}

impl TopLevelCommand for PlatformOptions {}

impl PlatformOptions {
    /// Starts the platform and serves until the process is terminated.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read, the list of VMs is not valid JSON, or the address cannot be bound.
    pub async fn run(&self) -> IoResult<()> {
        let platform = Platform::start(self.settings()).await?;
        if let Some(path) = &self.config {
            platform.put("config/current", &std::fs::read_to_string(path)?);
        }
        if let Some(path) = &self.vms {
            let list: VmList = serde_json::from_str(&std::fs::read_to_string(path)?)?;
            platform.set_vms(list.vms);
        }
        println!("ready addr={}", platform.addr());
        std::future::pending().await
    }

    fn settings(&self) -> PlatformSettings {
        PlatformSettings {
            listen: self.listen,
            vm_list_lag_ms: self.vm_list_lag_ms,
            weight_size_bytes: self.weight_size_bytes,
            weight_rate_bytes_per_s: self.weight_rate_bytes_per_s,
            weight_transfers: self.weight_transfers,
        }
    }
}
