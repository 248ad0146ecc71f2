//! Time in which a stream waits for its caller.

/// Shortest time that counts as a stall, in milliseconds. An event to a caller that reads takes less.
const MIN_STALL_MS: u64 = 20;

/// Time between taking bytes for the caller and asking for more, in which nothing is read from the engines.
#[derive(Debug, Default)]
pub(crate) struct CallerStall {
    /// When bytes were taken; `None` while more are asked for.
    since_ms: Option<u64>,
}

impl CallerStall {
    /// Records that bytes were taken.
    pub fn begin(&mut self, now_ms: u64) {
        self.since_ms = Some(now_ms);
    }

    /// Records that more bytes are asked for. Returns for how long the stream has waited; 0 if that is usual.
    pub fn end(&mut self, now_ms: u64) -> u64 {
        let waited_ms = self.since_ms.take().map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        if waited_ms >= MIN_STALL_MS { waited_ms } else { 0 }
    }
}
