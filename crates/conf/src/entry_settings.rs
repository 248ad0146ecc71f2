//! Section `[entry]` of the settings file: the VM and the server for callers.

use crate::section::{Section, Source};
use base::{DomainName, VmId};
use std::net::{Ipv4Addr, SocketAddr};
use toml::de::DeTable;

/// Default address of the server for callers.
const DEFAULT_LISTEN: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 8080);

/// Default number of threads that serve requests. It is low because entry VMs are small.
const DEFAULT_WORKER_THREADS: u64 = 4;

/// Default time between failing the readiness check and closing the listener. The load balancer stops sending
/// connections in this time.
const DEFAULT_SHUTDOWN_WAIT_MS: u64 = 1_000;

/// Settings of the VM and of the server for callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Identifier of the VM that the daemon runs on, as in the platform's VM list.
    pub vm_id: VmId,
    /// Failure domain that this VM belongs to.
    pub domain: DomainName,
    /// Address on which the server accepts connections of callers.
    pub listen: SocketAddr,
    /// Number of threads on which the requests of callers are served.
    pub worker_threads: u64,
    /// Time during a shutdown between failing the readiness check and closing the listener.
    pub shutdown_wait_ms: u64,
}

impl EntrySettings {
    /// Reads the section. Returns `None` if a required key is missing or not valid.
    pub(crate) fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Option<Self> {
        let mut section = Section::open("entry", root, source);
        let name = "1 to 64 characters of a-z A-Z 0-9 . _ -";
        let vm_id = section.required("vm_id", name, source);
        let domain = section.required("domain", name, source);
        let listen = section.parsed("listen", "IP address and port", DEFAULT_LISTEN, source);
        let worker_threads =
            section.integer("worker_threads", 1..=1_024, DEFAULT_WORKER_THREADS, source);
        let shutdown_wait_ms =
            section.integer("shutdown_wait_ms", 0..=60_000, DEFAULT_SHUTDOWN_WAIT_MS, source);
        section.close(source);
        Some(Self { vm_id: vm_id?, domain: domain?, listen, worker_threads, shutdown_wait_ms })
    }
}
