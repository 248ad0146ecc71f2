//! Prefix cache with least-recently-used eviction.

use base::HashMap;
use std::collections::BTreeMap;

/// Set of cached context blocks. A block is identified by the hash of the context up to its end.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    /// Number of the last use of each cached block.
    used_at: HashMap<u64, u64>,
    /// Cached blocks by the number of their last use; the first one is evicted next.
    by_use: BTreeMap<u64, u64>,
    /// Number of uses of any block so far.
    uses: u64,
}

impl PrefixCache {
    /// Creates a cache for at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, used_at: HashMap::default(), by_use: BTreeMap::new(), uses: 0 }
    }

    /// Returns the number of leading blocks that are in the cache, and marks them as used.
    pub fn lookup(&mut self, blocks: &[u64]) -> usize {
        let count = blocks.iter().take_while(|block| self.used_at.contains_key(block)).count();
        // The first block is marked last and so evicted last, because the other blocks cannot be used without it.
        for &block in blocks[..count].iter().rev() {
            self.mark_used(block);
        }
        count
    }

    /// Inserts as many leading blocks as the cache can hold, and evicts others for them. Calls `on_change` with each
    /// block that was newly stored (true) or evicted (false).
    pub fn insert(&mut self, blocks: &[u64], mut on_change: impl FnMut(u64, bool)) {
        let kept = &blocks[..blocks.len().min(self.capacity)];
        for &block in kept.iter().rev() {
            if !self.used_at.contains_key(&block) {
                on_change(block, true);
            }
            self.mark_used(block);
        }
        while self.used_at.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.used_at.remove(&block);
            on_change(block, false);
        }
    }

    fn mark_used(&mut self, block: u64) {
        self.uses += 1;
        if let Some(previous_use) = self.used_at.insert(block, self.uses) {
            self.by_use.remove(&previous_use);
        }
        self.by_use.insert(self.uses, block);
    }
}
