//! Daemons that read a key-value service for the other daemons of their failure domain.

use base::DomainName;
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

/// Number of daemons in each failure domain that read the service themselves. The second one serves while the first is
/// lost.
const RELAYS_PER_DOMAIN: usize = 2;

/// Number of further daemons that are asked when the relays of the domain have lost the service. They read it
/// themselves then.
const SUBSTITUTES: usize = 2;

/// Smallest number of daemons in a failure domain for which relays are used. In a smaller domain, each daemon reads the
/// service itself, which costs few calls and depends on no other daemon.
const MIN_DAEMONS: usize = 5;

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

/// Chooses the relays that the daemon on the VM `own_name` reads from, the preferred one first. The result is empty if
/// the daemon reads the service itself: it is a relay, or its failure domain `domain` is too small for relays.
///
/// The relays of a domain are those with the fastest links, because each change goes to all daemons of the domain.
/// Daemons that know different sets of daemons may choose different relays, which only costs a few more calls. A daemon
/// reads only from daemons that precede it in one order of all daemons, so that no two read from each other.
pub fn choose_relays(daemons: &[Relay], domain: &DomainName, own_name: &str) -> Vec<Relay> {
    let mut relays: Vec<&Relay> = daemons.iter().filter(|relay| relay.domain == *domain).collect();
    if relays.len() < MIN_DAEMONS {
        return Vec::new();
    }
    relays.sort_by_cached_key(|relay| {
        (std::cmp::Reverse(relay.link_mbps), hash(&relay.vm_name), relay.vm_name.clone())
    });
    let own = relays.iter().position(|relay| *relay.vm_name == *own_name);
    relays.truncate(own.unwrap_or(usize::MAX).min(RELAYS_PER_DOMAIN + SUBSTITUTES));
    if relays.len() < RELAYS_PER_DOMAIN {
        return Vec::new();
    }
    let first = hash(own_name) as usize % RELAYS_PER_DOMAIN;
    relays[..RELAYS_PER_DOMAIN].rotate_left(first);
    relays.into_iter().cloned().collect()
}

fn hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
