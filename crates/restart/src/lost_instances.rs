//! Instances that were lost, whose addresses are checked for a restarted process.

use base::HashMap;
use std::sync::Arc;

/// Time from the loss to the first check. A process needs some time to start again.
const FIRST_CHECK_MS: u64 = 300;

/// Time between two checks of an address.
const CHECK_INTERVAL_MS: u64 = 250;

/// Part of the time until an address may be reused that is not used, in milliseconds. It covers the time that the last
/// bytes of the lost process were on their way.
const MARGIN_MS: u64 = 100;

/// Largest number of instances that are checked at a time. More losses are left to the registry.
const MAX_INSTANCES: usize = 1_024;

/// Instances that were lost a short time ago.
///
/// An address is given to a process of another service at the earliest some seconds after its last process has ended.
/// A process that answers there earlier than that after a sign of life of the lost instance belongs to the same service.
#[derive(Clone, Debug)]
pub struct LostInstances {
    /// Shortest time from the end of a process to the start of one of another service at its address.
    reuse_after_ms: u64,
    lost: HashMap<Arc<str>, Lost>,
}

#[derive(Clone, Copy, Debug)]
struct Lost {
    /// End of the time in which an answer at the address is one of the same service.
    until_ms: u64,
    next_check_ms: u64,
}

impl LostInstances {
    /// Creates an empty set. With a `reuse_after_ms` of 0, addresses may be reused at once, and nothing is checked.
    pub fn new(reuse_after_ms: u64) -> Self {
        Self { reuse_after_ms, lost: HashMap::default() }
    }

    /// Records the loss of the instance `id`, which last gave a sign of life at `last_sign_ms`. A later sign of the same
    /// instance extends the time in which its address is checked.
    pub fn record(&mut self, id: &Arc<str>, last_sign_ms: u64, now_ms: u64) {
        let until_ms = last_sign_ms + self.reuse_after_ms.saturating_sub(MARGIN_MS);
        if until_ms <= now_ms {
            return;
        }
        if let Some(lost) = self.lost.get_mut(id) {
            lost.until_ms = lost.until_ms.max(until_ms);
        } else if self.lost.len() < MAX_INSTANCES {
            let lost = Lost { until_ms, next_check_ms: now_ms + FIRST_CHECK_MS };
            self.lost.insert(Arc::clone(id), lost);
        }
    }

    /// Returns the instances whose addresses are to be checked now, and forgets those whose time is over.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        self.lost.retain(|_, lost| now_ms < lost.until_ms);
        let due = self.lost.iter_mut().filter(|(_, lost)| lost.next_check_ms <= now_ms);
        due.map(|(id, lost)| {
            lost.next_check_ms = now_ms + CHECK_INTERVAL_MS;
            Arc::clone(id)
        })
        .collect()
    }

    /// When `take_due` next has something to do; `None` without lost instances.
    pub fn next_check_ms(&self) -> Option<u64> {
        self.lost.values().map(|lost| lost.next_check_ms.min(lost.until_ms)).min()
    }

    /// Ends the checks of an address at which a process has answered, at `answered_ms` at the latest. Returns whether
    /// that process is of the same service as the lost instance `id`.
    pub fn resolve(&mut self, id: &str, answered_ms: u64) -> bool {
        self.lost.remove(id).is_some_and(|lost| answered_ms < lost.until_ms)
    }
}
