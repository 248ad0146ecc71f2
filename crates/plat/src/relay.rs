//! Daemon that reads a key-value service for the other daemons of its failure domain.

use base::DomainName;
use std::net::SocketAddr;

/// Daemon that can serve as a relay, as it announces itself in the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Relay {
    /// Name of the daemon's VM.
    pub vm_name: Box<str>,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address at which other daemons can read from the relay.
    pub addr: SocketAddr,
    /// Capacity of the VM's network link in Mbit/s.
    pub link_mbps: u64,
}

impl Relay {
    /// Text of the item by which the daemon announces itself.
    pub fn encode(&self) -> String {
        format!("{} {} {}", self.domain, self.addr, self.link_mbps)
    }

    /// Decodes the item of the daemon on the VM `vm_name`; `None` if the item is malformed.
    pub fn decode(vm_name: &str, item: &[u8]) -> Option<Self> {
        let mut fields = std::str::from_utf8(item).ok()?.split(' ');
        Some(Self {
            vm_name: vm_name.into(),
            domain: fields.next()?.to_owned().try_into().ok()?,
            addr: fields.next()?.parse().ok()?,
            link_mbps: fields.next()?.parse().ok()?,
        })
    }
}
