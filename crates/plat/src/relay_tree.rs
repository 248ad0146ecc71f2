//! Tree by which the daemons of a failure domain read a key-value service.

use crate::{read_path::ReadPath, relay::Relay};
use base::{DomainName, stable_hash};
use std::cmp::Reverse;

/// Smallest number of relays that read the service in a failure domain that has relays. The second one serves while the
/// first is lost.
const MIN_RELAYS: usize = 2;

/// The number of relays that read the service is the square root of the number of daemons in the failure domain, divided by
/// this number. So the calls to the service grow with this root.
const RELAY_ROOT_DIVISOR: usize = 3;

/// Number of relays that a daemon asks, one after the other.
const ASKED_RELAYS: usize = 2;

/// Number of further daemons that are asked when these relays have lost the service. They read it themselves then.
const SUBSTITUTES: usize = 2;

/// Smallest number of daemons in a failure domain for which relays are used. In a smaller domain, each daemon reads the
/// service itself, which costs few calls and depends on no other daemon.
const MIN_DAEMONS: usize = 5;

/// Share of the link that the usual readers of a relay may take, as a divisor.
const READERS_DIVISOR: u64 = 4;

/// Traffic of a reader by which the number of readers of a link is calculated: that of 3,000 instances of which 2% change
/// each second, with the heads of the calls.
const READER_BYTES_PER_MS: u64 = 37;

/// Bytes that a link of one Mbit/s carries in a millisecond.
const BYTES_PER_MS: u64 = 125;

/// Smallest and largest number of readers that a relay is expected to serve. A link of 10 Mbit/s carries eight; faster
/// ones do not serve many more, because their VMs have little processor time too.
const READERS: (u64, u64) = (2, 10);

/// Daemons of a failure domain in the order in which they are chosen as relays, with the sizes of the two tiers of relays at
/// its beginning. Each daemon reads from daemons before it, so that no two read from each other, also if they know
/// different sets of daemons.
pub(crate) struct RelayTree<'a> {
    order: Vec<&'a Relay>,
    /// Number of relays that read the service.
    first: usize,
    /// Number of relays that read from those; 0 if all other daemons read from the first relays.
    second: usize,
}

impl<'a> RelayTree<'a> {
    /// Builds the tree of the daemons of `domain`. The relays are those with the fastest links, because each change goes to
    /// all daemons.
    pub(crate) fn new(daemons: &'a [Relay], domain: &DomainName) -> Self {
        let mut order: Vec<&Relay> =
            daemons.iter().filter(|relay| relay.domain == *domain).collect();
        order.sort_by_cached_key(|relay| {
            (Reverse(relay.link_mbps), stable_hash(&relay.vm_name), relay.vm_name.clone())
        });
        let first = (order.len().isqrt() / RELAY_ROOT_DIVISOR).max(MIN_RELAYS).min(order.len());
        let second = second_tier(&order, first);
        Self { order, first, second }
    }

    /// Relays that read the service, those that the daemon on the VM `own_name` asks first for a list of all items.
    pub(crate) fn first_relays(&self, own_name: &str) -> Vec<Relay> {
        let mut relays: Vec<Relay> =
            self.order[..self.first].iter().map(|relay| (*relay).clone()).collect();
        relays.rotate_left(stable_hash(own_name) as usize % self.first.max(1));
        relays
    }

    /// How the daemon on the VM `own_name` reads the service.
    pub(crate) fn read_path(&self, own_name: &str) -> ReadPath {
        if self.order.len() < MIN_DAEMONS {
            return ReadPath::Direct;
        }
        let own = self.order.iter().position(|relay| *relay.vm_name == *own_name);
        let position = own.unwrap_or(usize::MAX);
        if position < self.first {
            return ReadPath::AsRelay;
        }
        let is_leaf = self.second > 0 && position - self.first >= self.second;
        let tier = match is_leaf {
            true => &self.order[self.first..self.first + self.second],
            false => &self.order[..self.first],
        };
        // The position spreads the readers evenly. A daemon that is not in the list yet has none.
        let number =
            own.unwrap_or(stable_hash(own_name) as usize) - if is_leaf { self.first } else { 0 };
        let preferred = number % tier.len();
        // The readers of a lost relay spread over the others of its tier.
        let others = tier.len() - 1;
        let other = (preferred + 1 + stable_hash(own_name) as usize % others.max(1)) % tier.len();
        let mut asked = vec![tier[preferred], tier[other]];
        asked.truncate(ASKED_RELAYS.min(tier.len()));
        for substitute in
            self.order[self.first..].iter().take(SUBSTITUTES.min(position - self.first))
        {
            if !asked.contains(substitute) {
                asked.push(substitute);
            }
        }
        let relays = asked.into_iter().cloned().collect();
        match self.second > 0 && !is_leaf {
            true => ReadPath::ThroughAsRelay(relays),
            false => ReadPath::Through(relays),
        }
    }
}

/// Number of relays of the second tier; 0 if the first relays can serve all other daemons. Both tiers get about as many
/// readers for each relay, unless the links of the second tier carry less.
fn second_tier(order: &[&Relay], first: usize) -> usize {
    let readers = order.len() - first;
    let capacity = |relays: &[&Relay]| relays.iter().map(|relay| max_readers(relay)).sum::<usize>();
    let first_capacity = capacity(&order[..first]);
    if readers <= first_capacity {
        return 0;
    }
    let even = (first * readers).isqrt();
    let is_enough = |&count: &usize| capacity(&order[first..first + count]) >= readers - count;
    (even..first_capacity).find(is_enough).unwrap_or(first_capacity.max(1))
}

/// Number of readers that the link of a relay carries beside the requests of its VM. If the link is not known, it is
/// taken for a fast one.
fn max_readers(relay: &Relay) -> usize {
    let readers = match relay.link_mbps {
        0 => READERS.1,
        link_mbps => link_mbps.saturating_mul(BYTES_PER_MS) / READERS_DIVISOR / READER_BYTES_PER_MS,
    };
    readers.clamp(READERS.0, READERS.1) as usize
}
