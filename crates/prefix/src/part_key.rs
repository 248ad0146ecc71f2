//! Key of a part of a prompt.

use base::stable_hash;

/// Hash of the identifier of a part, or of a sequence of parts. The hasher has fixed keys, so that all daemons compute the
/// same.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartKey(u64);

impl PartKey {
    /// Key of the sequence that ends with the part `self` after the sequence `before`.
    pub(crate) fn after(self, before: Self) -> Self {
        Self(stable_hash(&(before.0, self.0)))
    }

    /// Rank of an engine for this sequence. The engine with the largest one is the first choice.
    pub(crate) fn rank(self, engine_hash: u64) -> u64 {
        stable_hash(&(self.0, engine_hash))
    }
}

impl From<&str> for PartKey {
    fn from(id: &str) -> Self {
        Self(stable_hash(&id))
    }
}
