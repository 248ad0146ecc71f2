//! Distribution of durations.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Largest duration that is told apart; longer ones count as this one.
const LIMIT_MS: u64 = 3_600_000;

/// Significant decimal digits of a duration, which bounds the memory of a distribution to about 8 KB.
const DIGITS: u8 = 2;

/// Distribution of durations in milliseconds. On the wire it is a list of values and their counts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub struct Distribution(Option<Histogram<u32>>);

impl Distribution {
    /// Distribution without values.
    pub fn new() -> Self {
        Self(Histogram::new_with_bounds(1, LIMIT_MS, DIGITS).ok())
    }

    /// Adds a duration.
    pub fn record(&mut self, duration_ms: u64) {
        self.record_n(duration_ms, 1);
    }

    /// Adds the values of another distribution.
    pub fn merge(&mut self, other: &Self) {
        for (value, count) in Vec::from(other.clone()) {
            self.record_n(value, count);
        }
    }

    /// Number of values.
    pub fn len(&self) -> u64 {
        self.0.as_ref().map_or(0, Histogram::len)
    }

    /// Whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Value below which this part of the values lies, for example 0.95; none without values.
    pub fn quantile_ms(&self, quantile: f64) -> Option<u64> {
        let histogram = self.0.as_ref().filter(|histogram| !histogram.is_empty())?;
        Some(histogram.value_at_quantile(quantile))
    }

    fn record_n(&mut self, duration_ms: u64, count: u64) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record_n(duration_ms.clamp(1, LIMIT_MS), count);
        }
    }
}

impl Default for Distribution {
    fn default() -> Self {
        Self::new()
    }
}

impl From<Distribution> for Vec<(u64, u64)> {
    fn from(distribution: Distribution) -> Self {
        let histogram = distribution.0.iter();
        let values = histogram.flat_map(|histogram| {
            let recorded = histogram.iter_recorded();
            recorded.map(|step| (step.value_iterated_to(), u64::from(step.count_at_value())))
        });
        values.collect()
    }
}

impl From<Vec<(u64, u64)>> for Distribution {
    fn from(values: Vec<(u64, u64)>) -> Self {
        let mut distribution = Self::new();
        for (value, count) in values {
            distribution.record_n(value, count);
        }
        distribution
    }
}
