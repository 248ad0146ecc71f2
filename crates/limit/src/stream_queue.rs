//! Order in which the streams of one service at one daemon look for engines.

use crate::{priority::Priority, stream_progress::StreamProgress};

/// Wait after which a stream counts as one class more urgent, and again after as long, so that none starves.
const AGING_MS: u64 = 2_000;

/// Stream that has found no engine with room yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingStream {
    /// Number of the stream, which grows with the time at which it began to wait.
    pub number: u64,
    pub priority: Priority,
    pub progress: StreamProgress,
    /// Latest time at which the stream can be sent and still be in time.
    pub latest_start_ms: u64,
    /// When the stream began to wait.
    pub since_ms: u64,
    /// Whether the stream may use any engine of the service, so that less urgent streams would find none before it.
    pub is_unconstrained: bool,
    /// Identifies the software version whose engines the stream may all use; `None` if it may use any engine, or if it has
    /// further constraints. Streams of one version wait for each other.
    pub version_key: Option<u64>,
}

impl WaitingStream {
    /// Key that orders waiting streams, the next one first.
    fn rank(&self, now_ms: u64) -> (u64, bool, u64, u64) {
        let class = match self.progress {
            StreamProgress::New | StreamProgress::Begun => self.priority.level(),
            StreamProgress::Late => self.progress.queue_level(self.priority),
        };
        let aged_class =
            u64::from(class).saturating_sub(now_ms.saturating_sub(self.since_ms) / AGING_MS);
        let is_new = self.progress != StreamProgress::Begun;
        (aged_class, is_new, self.latest_start_ms, self.number)
    }

    /// Whether the stream may use all engines that `other` may use, so that `other` would find none before it.
    fn competes_with(&self, other: &Self) -> bool {
        self.is_unconstrained || self.version_key.is_some() && self.version_key == other.version_key
    }
}

/// Streams of one service that wait at one daemon.
#[derive(Clone, Debug, Default)]
pub struct StreamQueue {
    waiting: Vec<WaitingStream>,
}

impl StreamQueue {
    /// Adds a stream, or updates it if its number is in the queue.
    pub fn enter(&mut self, stream: WaitingStream) {
        match self.waiting.iter_mut().find(|waiting| waiting.number == stream.number) {
            Some(waiting) => *waiting = stream,
            None => self.waiting.push(stream),
        }
    }

    /// Removes a stream. Returns whether it was in the queue.
    pub fn leave(&mut self, number: u64) -> bool {
        let position = self.waiting.iter().position(|stream| stream.number == number);
        position.map(|position| self.waiting.swap_remove(position)).is_some()
    }

    /// Whether the stream may look for an engine now: no stream that could use all of its engines comes before it. One that
    /// is not in the queue may always look.
    pub fn is_next(&self, number: u64, now_ms: u64) -> bool {
        let Some(own) = self.waiting.iter().find(|stream| stream.number == number) else {
            return true;
        };
        let own_rank = own.rank(now_ms);
        let others = self.waiting.iter().filter(|stream| stream.competes_with(own));
        !others.into_iter().any(|stream| stream.rank(now_ms) < own_rank)
    }

    /// Number of waiting streams.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no stream waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
