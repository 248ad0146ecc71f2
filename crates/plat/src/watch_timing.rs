//! Times of the watches of a key-value service.

/// Times of the watches that `list_and_watch` makes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchTiming {
    /// Longest wait of one watch for changes.
    pub wait_ms: u64,
    /// Pause after changes before the next watch.
    pub batch_ms: u64,
}
