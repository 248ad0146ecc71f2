//! Bounds of a store of journal copies.

/// Bounds of a store of journal copies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaLimits {
    /// Largest estimated memory of all copies.
    pub size_bytes: usize,
    /// Time for which a finished answer stays readable.
    pub finished_retention_ms: u64,
    /// Time without an append after which an unfinished journal is dropped.
    pub unfinished_retention_ms: u64,
}

impl Default for ReplicaLimits {
    fn default() -> Self {
        Self {
            size_bytes: 256 * 1024 * 1024,
            finished_retention_ms: 60_000,
            unfinished_retention_ms: 300_000,
        }
    }
}
