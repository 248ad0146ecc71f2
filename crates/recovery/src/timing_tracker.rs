//! Measurement of the usual times of a model.

use crate::{histogram::Histogram, timing::Timing};

/// Number of gaps after which the measured percentile replaces the assumed time.
const MIN_GAPS: u32 = 200;

/// Number of first-token waits after which the measured percentile is used. It is lower than for gaps, because these
/// waits are rarer, and until the percentile is known an attempt at a frozen engine costs `Policy::first_token_cap_ms`.
const MIN_FIRST_TOKENS: u32 = 32;

/// Number of generations after which the measured percentile is used.
const MIN_GENERATIONS: u32 = 16;

/// Percentile of the generation durations that is reported in `Timing::generation_ms`.
const GENERATION_PERCENTILE: u64 = 75;

/// Number of samples between two computations of the percentiles.
const REFRESH_SAMPLES: u32 = 64;

/// Percentile of the gaps that is reported in `Timing::gap_ms`.
const GAP_PERCENTILE: u64 = 99;

/// Percentile of the first-token waits that is reported in `Timing::first_token_ms`. While engines freeze, several in
/// 100 first tokens arrive late from engines that resumed; a higher percentile would measure the length of the freezes.
const FIRST_TOKEN_PERCENTILE: u64 = 90;

/// Tracker of the usual times of one model, shared by all generations of an entry.
///
/// Gaps are measured only between tokens of the same attempt. The silence before a recovery is not a gap, so failures
/// do not raise the measured times.
#[derive(Clone, Debug, Default)]
pub struct TimingTracker {
    gaps: Histogram,
    first_tokens: Histogram,
    generations: Histogram,
    samples_since_refresh: u32,
    timing: Timing,
}

impl TimingTracker {
    /// Adds the gap between two tokens of the same attempt.
    pub fn observe_gap(&mut self, gap_ms: u64) {
        self.gaps.add(gap_ms);
        self.refresh();
    }

    /// Adds the wait for the first token of an attempt.
    pub fn observe_first_token(&mut self, wait_ms: u64) {
        self.first_tokens.add(wait_ms);
        self.refresh();
    }

    /// Adds the time from a request to the end of its generation. Generations are rare compared to tokens, so the
    /// percentile is computed after each one.
    pub fn observe_generation(&mut self, duration_ms: u64) {
        self.generations.add(duration_ms);
        if self.generations.total() >= MIN_GENERATIONS {
            self.timing.generation_ms = Some(self.generations.percentile_ms(GENERATION_PERCENTILE));
        }
    }

    /// Usual times, with assumed values for those that are not known yet.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    fn refresh(&mut self) {
        self.samples_since_refresh += 1;
        if self.samples_since_refresh < REFRESH_SAMPLES {
            return;
        }
        self.samples_since_refresh = 0;
        if self.gaps.total() >= MIN_GAPS {
            self.timing.gap_ms = self.gaps.percentile_ms(GAP_PERCENTILE);
        }
        if self.first_tokens.total() >= MIN_FIRST_TOKENS {
            self.timing.first_token_ms =
                Some(self.first_tokens.percentile_ms(FIRST_TOKEN_PERCENTILE));
        }
    }
}
