//! Limits of a replica store.

/// Limits on the memory and the retention of a replica store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaLimits {
    /// Estimated memory of all replicas beyond which no new replica of another daemon's journal is accepted.
    pub size_bytes: usize,
    /// Time for which a finished journal is kept after its last change, so that callers can still read the answer.
    pub finished_retention_ms: u64,
    /// Time without an append or a claim after which an unfinished journal is dropped.
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
