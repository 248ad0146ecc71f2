//! Options for reading through relays.

use base::DomainName;

/// Options of a [`RelayedSource`](crate::RelayedSource).
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// Name of the VM of this daemon.
    pub own_name: Box<str>,
    /// Failure domain of this daemon, in which relays are chosen.
    pub domain: DomainName,
    /// Prefix of the keys under which daemons announce themselves as relays.
    pub prefix: &'static str,
    /// Longest wait of a watch at a relay, and of one by which a relay confirms that its copy is up to date.
    pub wait_ms: u64,
}
