//! Choice of the daemons that read a key-value service for others.

use crate::relay::Relay;
use base::DomainName;
use std::{
    cmp::Reverse,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Smallest number of relays in a failure domain that has relays. The second one serves while the first is lost.
const MIN_RELAYS: usize = 2;

/// The number of relays is the square root of the number of daemons in the failure domain, divided by this number. So the
/// calls to the service and the bytes that each relay sends both grow with this root.
const RELAY_ROOT_DIVISOR: usize = 3;

/// Number of relays that a daemon asks, one after the other.
const ASKED_RELAYS: usize = 2;

/// Number of further daemons that are asked when the relays of the domain have lost the service. They read it
/// themselves then.
const SUBSTITUTES: usize = 2;

/// Smallest number of daemons in a failure domain for which relays are used. In a smaller domain, each daemon reads the
/// service itself, which costs few calls and depends on no other daemon.
const MIN_DAEMONS: usize = 5;

/// How a daemon reads the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadPath {
    /// The daemon reads the service for itself, because its failure domain is too small for relays.
    Direct,
    /// The daemon reads the service for itself and for others.
    AsRelay,
    /// The daemon reads from these relays, the preferred one first.
    Through(Vec<Relay>),
}

/// Chooses how the daemon on the VM `own_name` in the failure domain `domain` reads the service.
///
/// The relays of a domain are those with the fastest links, because each change goes to all daemons of the domain.
/// Daemons that know different sets of daemons may choose different relays, which only costs a few more calls. A daemon
/// reads only from daemons that precede it in one order of all daemons, so that no two read from each other.
pub fn choose_read_path(daemons: &[Relay], domain: &DomainName, own_name: &str) -> ReadPath {
    let mut relays: Vec<&Relay> = daemons.iter().filter(|relay| relay.domain == *domain).collect();
    if relays.len() < MIN_DAEMONS {
        return ReadPath::Direct;
    }
    relays.sort_by_cached_key(|relay| {
        (Reverse(relay.link_mbps), hash(&relay.vm_name), relay.vm_name.clone())
    });
    let count = (relays.len().isqrt() / RELAY_ROOT_DIVISOR).max(MIN_RELAYS);
    let own = relays.iter().position(|relay| *relay.vm_name == *own_name);
    relays.truncate(own.unwrap_or(usize::MAX).min(count + SUBSTITUTES));
    if relays.len() < count {
        return ReadPath::AsRelay;
    }
    let substitutes = relays.split_off(count);
    relays.rotate_left(hash(own_name) as usize % count);
    relays.truncate(ASKED_RELAYS);
    ReadPath::Through(relays.into_iter().chain(substitutes).cloned().collect())
}

fn hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
