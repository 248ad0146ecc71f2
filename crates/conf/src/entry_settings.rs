//! Section `[entry]`.

use crate::section::{Section, Source};
use base::{DomainName, VmId};
use std::net::{Ipv4Addr, SocketAddr};
use toml::de::DeTable;

/// Address that the daemon listens on unless the settings name another.
const DEFAULT_LISTEN: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 8080);

/// Threads that serve requests unless the settings say otherwise: entry VMs are small.
const DEFAULT_WORKER_THREADS: u64 = 4;

/// Wait between failing readiness and closing the listener, so that the balancer turns away first.
const DEFAULT_SHUTDOWN_WAIT_MS: u64 = 1_000;

/// Server towards callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Identifier of this VM.
    pub vm_id: VmId,
    /// Failure domain of this VM.
    pub domain: DomainName,
    /// Address of the server towards callers.
    pub listen: SocketAddr,
    /// Threads that serve requests.
    pub worker_threads: u64,
    /// Wait between failing readiness and closing the listener.
    pub shutdown_wait_ms: u64,
}

impl EntrySettings {
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
