//! Blocks that the prefix cache of an engine probably holds.

use base::HashMap;
use std::collections::VecDeque;

/// Maximum number of blocks in a set. 4,096 blocks of 24 bytes take about 100 KB with the overhead of the map.
const MAX_BLOCKS: usize = 4_096;

/// Bounded set of block hashes that evicts the least recently used block.
///
/// The set is only a hint. After a lost cache event the set holds a block too many or too few. The selected engine then
/// may have to repeat a prefill, but its answer is still correct.
#[derive(Clone, Debug, Default)]
pub struct PrefixSet {
    /// Logical time of the last use of each block.
    last_use: HashMap<u64, u64>,
    /// Uses in order, as logical time and block. An element is stale if the block was used again or removed since.
    uses: VecDeque<(u64, u64)>,
    /// Logical time, incremented at each use.
    tick: u64,
}

impl PrefixSet {
    /// Adds a block, or marks it as the most recently used one. The least recently used block is evicted if the set
    /// exceeds its maximum size.
    pub fn insert(&mut self, block: u64) {
        self.tick += 1;
        self.last_use.insert(block, self.tick);
        self.uses.push_back((self.tick, block));
        while self.last_use.len() > MAX_BLOCKS || self.uses.len() > 2 * MAX_BLOCKS {
            let Some((tick, block)) = self.uses.pop_front() else { return };
            if self.last_use.get(&block) == Some(&tick) {
                self.last_use.remove(&block);
            }
        }
    }

    /// Removes a block; does nothing if the set lacks it.
    pub fn remove(&mut self, block: u64) {
        self.last_use.remove(&block);
    }

    /// Returns the number of leading blocks of a context that are in the set.
    pub fn cached_prefix_len(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.last_use.contains_key(block)).count()
    }

    /// Returns the number of blocks in the set, without those that were evicted or removed.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }
}
