//! Choice of the daemons that read a key-value service for others.

use crate::{relay::Relay, relay_tree::RelayTree};
use base::DomainName;

/// How a daemon reads the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadPath {
    /// The daemon reads the service for itself, because its failure domain is too small for relays.
    Direct,
    /// The daemon reads the service for itself and for others.
    AsRelay,
    /// The daemon reads from these relays, the preferred one first, for itself and for others.
    ThroughAsRelay(Vec<Relay>),
    /// The daemon reads from these relays, the preferred one first.
    Through(Vec<Relay>),
}

/// Chooses how the daemon on the VM `own_name` in the failure domain `domain` reads the service.
///
/// Daemons that know different sets of daemons may choose different relays, which only costs a few more calls. A daemon
/// reads only from daemons that precede it in one order of all daemons, so that no two read from each other.
pub fn choose_read_path(daemons: &[Relay], domain: &DomainName, own_name: &str) -> ReadPath {
    RelayTree::new(daemons, domain).read_path(own_name)
}
