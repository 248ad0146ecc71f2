//! Blocks that the prefix cache of one engine probably holds.

use base::HashMap;
use std::collections::VecDeque;

/// Blocks that are remembered for each engine: 4,096 blocks of 24 bytes are about 100 KB with the map's overhead.
const BLOCKS: usize = 4_096;

/// Bounded set of block hashes. It is a hint: a lost event leaves a block too many or too few, and the choice then
/// costs a prefill but is never wrong.
#[derive(Clone, Debug, Default)]
pub struct PrefixSet {
    /// Tick of the last use of each block.
    last_use: HashMap<u64, u64>,
    /// Uses in order; an entry is out of date if the block was used again.
    uses: VecDeque<(u64, u64)>,
    tick: u64,
}

impl PrefixSet {
    /// Adds a block, or makes it the most recent one.
    pub fn insert(&mut self, block: u64) {
        self.tick += 1;
        self.last_use.insert(block, self.tick);
        self.uses.push_back((self.tick, block));
        while self.last_use.len() > BLOCKS || self.uses.len() > 2 * BLOCKS {
            let Some((tick, block)) = self.uses.pop_front() else { return };
            if self.last_use.get(&block) == Some(&tick) {
                self.last_use.remove(&block);
            }
        }
    }

    /// Removes a block.
    pub fn remove(&mut self, block: u64) {
        self.last_use.remove(&block);
    }

    /// Number of leading blocks of a context that are held.
    pub fn cached_prefix_len(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.last_use.contains_key(block)).count()
    }

    /// Number of blocks that are remembered.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }
}
