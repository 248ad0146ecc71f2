//! Prefix cache with least-recently-used replacement.

use base::HashMap;
use std::collections::BTreeMap;

/// Blocks of context, named by the hash of the context up to their end.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    used_at: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
}

impl PrefixCache {
    /// Cache of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, used_at: HashMap::default(), by_use: BTreeMap::new(), uses: 0 }
    }

    /// Number of leading blocks that are in the cache; marks them as used.
    pub fn lookup(&mut self, blocks: &[u64]) -> usize {
        let count = blocks.iter().take_while(|block| self.used_at.contains_key(block)).count();
        // The start of a prefix is marked last, since later blocks are of no use without it.
        for &block in blocks[..count].iter().rev() {
            self.mark(block);
        }
        count
    }

    /// Inserts blocks; `changed` learns of each stored (true) and removed (false) block.
    pub fn insert(&mut self, blocks: &[u64], mut changed: impl FnMut(u64, bool)) {
        let kept = &blocks[..blocks.len().min(self.capacity)];
        for &block in kept.iter().rev() {
            if !self.used_at.contains_key(&block) {
                changed(block, true);
            }
            self.mark(block);
        }
        while self.used_at.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.used_at.remove(&block);
            changed(block, false);
        }
    }

    fn mark(&mut self, block: u64) {
        self.uses += 1;
        if let Some(earlier) = self.used_at.insert(block, self.uses) {
            self.by_use.remove(&earlier);
        }
        self.by_use.insert(self.uses, block);
    }
}
