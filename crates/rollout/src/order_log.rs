//! Last known write of each service's order, by which items of an older copy of the store are recognized.

use base::{HashMap, ServiceName};

/// Largest number of services whose writes are remembered. Those with a rollout are always kept.
const MAX_WRITES: usize = 1_024;

/// Last known write of each service's order.
///
/// Within one era of the store, revisions grow. After a restoration, the copy may hold an order that was replaced or
/// removed since, or lack one: what the daemon knows then stays in force until the item is written or removed again.
#[derive(Debug, Default)]
pub(crate) struct OrderLog {
    writes: HashMap<ServiceName, LastWrite>,
}

/// Last known write of an order.
#[derive(Clone, Copy, Debug)]
struct LastWrite {
    /// Revision in the present era; 0 if the copy from which the store was restored lacks the item.
    revision: u64,
    /// Whether the item at this revision is not in force: it was removed, or it is older than what the daemon knows.
    is_void: bool,
}

impl OrderLog {
    /// Whether an item that was written at `revision` is in force, as far as its revision tells.
    pub fn is_in_force(&self, service: &ServiceName, revision: u64) -> bool {
        self.writes.get(service).is_none_or(|last| {
            revision > last.revision || revision == last.revision && !last.is_void
        })
    }

    /// Whether the store has lost an order that is in force, so that lists lack it.
    pub fn is_lost(&self, service: &ServiceName) -> bool {
        self.writes.get(service).is_some_and(|last| last.is_void && last.revision == 0)
    }

    /// Whether the item in the store is older than the order that is in force, or missing.
    pub fn is_void(&self, service: &ServiceName) -> bool {
        self.writes.get(service).is_some_and(|last| last.is_void)
    }

    /// Takes note of a write that is in force.
    pub fn record(&mut self, service: &ServiceName, revision: u64) {
        self.writes.insert(service.clone(), LastWrite { revision, is_void: false });
    }

    /// Takes note that the item at `revision`, or 0 if there is none, is not in force.
    pub fn record_void(&mut self, service: &ServiceName, revision: u64) {
        self.writes.insert(service.clone(), LastWrite { revision, is_void: true });
    }

    /// Takes note that the last known item was removed.
    pub fn record_removal(&mut self, service: &ServiceName) {
        if let Some(last) = self.writes.get_mut(service) {
            last.is_void = true;
        }
    }

    /// Forgets the orders of the services that `is_kept` does not hold for.
    pub fn retain(&mut self, is_kept: impl Fn(&ServiceName) -> bool) {
        self.writes.retain(|service, _| is_kept(service));
    }

    /// Forgets removed orders if there are too many. `has_rollout` tells which services have an order in force.
    pub fn trim(&mut self, has_rollout: impl Fn(&ServiceName) -> bool) {
        if self.writes.len() > MAX_WRITES {
            self.retain(has_rollout);
        }
    }
}
