//! Decision whether a stream is sent to one of the probed engines, waits, or is refused.

use crate::{engine_load::EngineLoad, stream_class::StreamClass, stream_progress::StreamProgress};

/// Part of the target within which a stream waits for an engine with room before it may be refused, as a divisor. A
/// caller that is refused later has less time for its retry.
const SHORT_WAIT_DIVISOR: u64 = 8;

/// Longest such wait, and that of a stream without a target to meet. The engines of a lost failure domain are usually back
/// by then.
const MAX_SHORT_WAIT_MS: u64 = 1_500;

/// Wait after which a stream is sent even to an engine whose memory is full.
const MAX_WAIT_MS: u64 = 10_000;

/// Percentage of the time left to the target that the expected wait for the first event may take. The report of an
/// engine is some hundred milliseconds old, and other daemons send to it as well.
const EXPECTED_PERCENT: u64 = 80;

/// Number of pending prefills from which an engine counts as busy. One prefill takes about a second, and callers wait a
/// few seconds for the first event.
const BUSY_PREFILLS: u32 = 3;

/// Stream that looks for an engine.
#[derive(Clone, Copy, Debug)]
pub struct StreamAsk {
    pub progress: StreamProgress,
    /// Urgency level that the engine would be told.
    pub urgency_level: u8,
    pub class: StreamClass,
    /// Whether the stream may be refused: it was not sent yet, has no event, and was not refused before.
    pub is_refusable: bool,
    /// Whether the search before this one found an engine at which the stream would have been in time. The engines of
    /// one search may all be exceptions.
    pub was_in_time: bool,
    /// When the stream began to look for an engine.
    pub since_ms: u64,
    /// Target for the time from the arrival to the first event.
    pub target_latency_ms: u64,
    /// When the first event is late.
    pub target_ms: u64,
    /// Tokens of the prompt and of the expected output.
    pub tokens: u64,
}

/// Probed engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineOffer {
    pub load: EngineLoad,
    /// Expected time until the first event of the stream, if it is sent there now.
    pub first_event_ms: u64,
}

/// What happens to a stream that looks for an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamVerdict {
    /// The stream is sent to the offered engine at this position.
    Send(usize),
    /// The stream waits for a better engine. `is_in_time` tells whether it would be in time at one of the engines.
    Wait { is_in_time: bool },
    /// The stream is refused, because its first event would be late by `late_ms` at the best of the engines.
    Refuse { late_ms: u64 },
}

impl StreamAsk {
    /// Decides on the stream by the engines that were probed for it.
    ///
    /// The first engine with room gets the stream. Without one, a stream that can still be in time waits at its daemon,
    /// where it goes to whichever engine has room first, is not lost with an engine, and occupies no memory that
    /// running requests need. A new stream that no engine can begin in time is refused after a short wait. Only a stream
    /// that has waited very long is sent to an engine whose memory is full.
    pub fn judge(&self, offers: &[EngineOffer], now_ms: u64) -> StreamVerdict {
        let best = (0..offers.len()).min_by_key(|&position| offers[position].first_event_ms);
        let Some(best) = best else { return StreamVerdict::Wait { is_in_time: false } };
        let best_ms = offers[best].first_event_ms;
        let left_ms = self.target_ms.saturating_sub(now_ms);
        let waited_ms = now_ms.saturating_sub(self.since_ms);
        let is_in_time = best_ms.saturating_mul(100) < left_ms.saturating_mul(EXPECTED_PERCENT);
        if let Some(position) = offers.iter().position(|offer| self.has_room(offer)) {
            return StreamVerdict::Send(position);
        }
        let can_be_refused_now = self.is_refusable && self.progress == StreamProgress::Late;
        if waited_ms < self.short_wait_ms() && !can_be_refused_now {
            return StreamVerdict::Wait { is_in_time };
        }
        // A stream that has waited for longer was expected to be in time, and is not refused late.
        let is_hopeless = !is_in_time && !self.was_in_time;
        if self.is_refusable && is_hopeless && waited_ms < 2 * self.short_wait_ms() {
            return StreamVerdict::Refuse { late_ms: best_ms.saturating_sub(left_ms) };
        }
        let can_preempt =
            |offer: &EngineOffer| offer.load.can_preempt(self.tokens, self.urgency_level);
        if self.class.has_less_urgent()
            && self.progress != StreamProgress::Late
            && let Some(position) = offers.iter().position(can_preempt)
        {
            return StreamVerdict::Send(position);
        }
        if is_in_time && self.progress == StreamProgress::New {
            return StreamVerdict::Wait { is_in_time };
        }
        let has_memory = |offer: &EngineOffer| offer.load.has_memory(self.tokens, 0);
        match offers.iter().position(has_memory) {
            Some(position) => StreamVerdict::Send(position),
            None if waited_ms < MAX_WAIT_MS => StreamVerdict::Wait { is_in_time },
            None => StreamVerdict::Send(best),
        }
    }

    /// How long the stream waits for an engine with room before anything else is considered.
    pub fn short_wait_ms(&self) -> u64 {
        match self.is_refusable {
            true => (self.target_latency_ms / SHORT_WAIT_DIVISOR).min(MAX_SHORT_WAIT_MS),
            false => MAX_SHORT_WAIT_MS,
        }
    }

    /// Whether the engine can begin with the stream soon, and can hold it.
    pub fn has_room(&self, offer: &EngineOffer) -> bool {
        let reserve_tokens = self.tokens.saturating_mul(self.class.reserved_streams());
        offer.load.pending_prefills() < BUSY_PREFILLS
            && offer.load.has_memory(self.tokens, reserve_tokens)
    }
}
