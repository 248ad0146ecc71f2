//! Learned shares of the parts that were cached when a request came.

use crate::basis::{BASES, Basis};

/// Number of classes of popularity.
const POPULARITIES: usize = 6;

/// Weight of the observations before each new one. The last twenty or so count, so that a change of the load shows within
/// a minute at a daemon with a request each three seconds.
const DECAY: f64 = 0.95;

/// Time in which observations lose half of their weight. What is not tried any more is tried again after some minutes.
const HALF_LIFE_MS: f64 = 120_000.0;

/// Weight of the first assumption, in observations.
const PRIOR: f64 = 1.0;

/// Shares of parts that were found cached, for each reason to expect it and each class of popularity: the number of times
/// that this daemon has met the part within some minutes.
#[derive(Clone, Debug, Default)]
pub struct HitRates {
    counts: [[Counts; POPULARITIES]; BASES],
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    hits: f64,
    misses: f64,
    updated_ms: u64,
}

impl Counts {
    fn at(self, now_ms: u64) -> Self {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let weight = (-elapsed_ms / HALF_LIFE_MS).exp2();
        Self { hits: self.hits * weight, misses: self.misses * weight, updated_ms: now_ms }
    }
}

impl HitRates {
    /// Probability that a part is cached, from 0 to 1. It is low without observations: a credit that is too large sends
    /// requests to engines where they wait for longer.
    pub fn probability(&self, basis: Basis, popularity: f64, now_ms: u64) -> f64 {
        let counts = self.counts[basis.index()][class(popularity)].at(now_ms);
        counts.hits / (counts.hits + counts.misses + PRIOR)
    }

    /// As `probability`, but high without observations. By it engines are asked, so that there are observations.
    pub fn possibility(&self, basis: Basis, popularity: f64, now_ms: u64) -> f64 {
        let counts = self.counts[basis.index()][class(popularity)].at(now_ms);
        (counts.hits + PRIOR) / (counts.hits + counts.misses + PRIOR)
    }

    /// Records whether a part was cached.
    pub fn record(&mut self, basis: Basis, popularity: f64, is_hit: bool, now_ms: u64) {
        let cell = &mut self.counts[basis.index()][class(popularity)];
        let counts = cell.at(now_ms);
        *cell = Counts { hits: counts.hits * DECAY, misses: counts.misses * DECAY, ..counts };
        *(if is_hit { &mut cell.hits } else { &mut cell.misses }) += 1.0;
    }
}

/// Class of popularity: less than 1, 2, 4, 8, 16 times, or more.
fn class(popularity: f64) -> usize {
    let is_below = |&class: &usize| popularity < f64::from(1 << class);
    (0..POPULARITIES - 1).find(is_below).unwrap_or(POPULARITIES - 1)
}
