//! Learns the usual times of a model.

use crate::{histogram::Histogram, timing::Timing};

/// Gaps before an observed percentile replaces the assumed time.
const MIN_SAMPLES: u32 = 200;

/// First-token waits before the observed percentile is used. They are rarer than gaps, and until it is known an attempt
/// at an engine that is frozen costs the longest wait.
const MIN_FIRST_TOKENS: u32 = 32;

/// Whole generations before the observed percentile is used.
const MIN_WHOLE: u32 = 16;

/// Percentile of the durations of whole generations.
const WHOLE_PERCENT: u64 = 75;

/// Samples between two computations of the percentiles.
const REFRESH_SAMPLES: u32 = 64;

/// Percentile of the gaps.
const GAP_PERCENT: u64 = 99;

/// Percentile of the first-token waits. While engines freeze, several in 100 first tokens come late from engines that
/// were woken; a higher percentile would learn the length of the freezes.
const FIRST_TOKEN_PERCENT: u64 = 90;

/// Usual times of one model, shared by all generations of an entry.
///
/// Only times between tokens of one attempt are observed. The silence before a recovery is not a gap, so failures do
/// not teach the tracker longer waits.
#[derive(Clone, Debug, Default)]
pub struct TimingTracker {
    gaps: Histogram,
    first_tokens: Histogram,
    wholes: Histogram,
    unread_samples: u32,
    timing: Timing,
}

impl TimingTracker {
    /// Adds the gap between two tokens of an attempt.
    pub fn observe_gap(&mut self, gap_ms: u64) {
        self.gaps.add(gap_ms);
        self.refresh();
    }

    /// Adds the wait for the first token of an attempt.
    pub fn observe_first_token(&mut self, wait_ms: u64) {
        self.first_tokens.add(wait_ms);
        self.refresh();
    }

    /// Adds the time from a request to the end of its generation. Whole generations are rare beside tokens, so the
    /// percentile is computed for each.
    pub fn observe_generation(&mut self, duration_ms: u64) {
        self.wholes.add(duration_ms);
        if self.wholes.total() >= MIN_WHOLE {
            self.timing.generation_ms = Some(self.wholes.percentile_ms(WHOLE_PERCENT));
        }
    }

    /// Usual times as far as they are known.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    fn refresh(&mut self) {
        self.unread_samples += 1;
        if self.unread_samples < REFRESH_SAMPLES {
            return;
        }
        self.unread_samples = 0;
        if self.gaps.total() >= MIN_SAMPLES {
            self.timing.gap_ms = self.gaps.percentile_ms(GAP_PERCENT);
        }
        if self.first_tokens.total() >= MIN_FIRST_TOKENS {
            self.timing.first_token_ms = Some(self.first_tokens.percentile_ms(FIRST_TOKEN_PERCENT));
        }
    }
}
