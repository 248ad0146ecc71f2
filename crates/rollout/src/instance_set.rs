//! Set of instances that can be merged between daemons.

use base::stable_hash;
use serde::{Deserialize, Serialize};

/// Set of instances in one word, which shows how many different ones there are at least.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceSet(u32);

impl InstanceSet {
    /// Adds an instance.
    pub fn insert(&mut self, id: &str) {
        self.0 |= 1 << (stable_hash(id) % u64::from(u32::BITS));
    }

    /// Adds the instances of another set.
    pub fn merge(&mut self, other: Self) {
        self.0 |= other.0;
    }

    /// Smallest possible number of instances in the set.
    pub fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Whether the set has no instance.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}
