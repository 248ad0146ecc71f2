//! Order in which the streams of one service at one daemon look for engines.

use crate::{engine_load::URGENCY_LEVELS, stream_progress::StreamProgress};

/// Wait after which a stream counts as one level more urgent, and again after as long, so that none starves.
const AGING_MS: u64 = 2_000;

/// Levels by which a late stream comes later, so that it does not delay one of any level that can be in time.
const LATE_LEVELS: u64 = URGENCY_LEVELS as u64;

/// Stream that has found no engine with room yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingStream {
    /// Number of the stream, which grows with the time at which it began to wait.
    pub number: u64,
    /// Urgency level of the stream, from 0, the most urgent one, to 9.
    pub level: u8,
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
        let delay = match self.progress {
            StreamProgress::New | StreamProgress::Begun => 0,
            StreamProgress::Late => LATE_LEVELS,
        };
        let aging = now_ms.saturating_sub(self.since_ms) / AGING_MS;
        let aged_level = (u64::from(self.level) + delay).saturating_sub(aging);
        let is_new = self.progress != StreamProgress::Begun;
        (aged_level, is_new, self.latest_start_ms, self.number)
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
