//! Parameters with which a fake platform starts, and their defaults.

use std::net::{Ipv4Addr, SocketAddr};

/// Settings of the fake platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Delay in milliseconds until a change of a VM appears in the list.
    pub vm_list_lag_ms: u64,
    /// Size in bytes of the weights of each model version.
    pub weight_size_bytes: u64,
    /// Transfer rate of the weight store in bytes per second, shared by all transfers.
    pub weight_rate_bytes_per_s: u64,
    /// Largest number of concurrent weight transfers; further ones are refused.
    pub weight_transfers: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            vm_list_lag_ms: 0,
            weight_size_bytes: 1_000_000_000,
            weight_rate_bytes_per_s: 2_000_000_000,
            weight_transfers: 4,
        }
    }
}
