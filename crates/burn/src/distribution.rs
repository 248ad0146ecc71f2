//! Histograms of durations with a fixed precision, which can be merged.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Maximum duration in a distribution, in milliseconds. Longer ones are recorded as this value.
const MAX_DURATION_MS: u64 = 3_600_000;

/// Precision of a duration in significant decimal digits, which limits the memory of a distribution to about 8 KB.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Distribution of durations in milliseconds. A distribution is serialized as a list of values and their counts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub struct Distribution(Option<Histogram<u32>>);

impl Distribution {
    /// Creates an empty distribution.
    pub fn new() -> Self {
        Self(Histogram::new_with_bounds(1, MAX_DURATION_MS, SIGNIFICANT_DIGITS).ok())
    }

    /// Adds one duration.
    pub fn record(&mut self, duration_ms: u64) {
        self.record_n(duration_ms, 1);
    }

    /// Adds all values of another distribution.
    pub fn merge(&mut self, other: &Self) {
        for (value, count) in Vec::from(other.clone()) {
            self.record_n(value, count);
        }
    }

    /// Returns the number of values.
    pub fn len(&self) -> u64 {
        self.0.as_ref().map_or(0, Histogram::len)
    }

    /// Returns whether the distribution has no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the value at a quantile between 0 and 1, such as 0.95, or `None` without values.
    pub fn quantile_ms(&self, quantile: f64) -> Option<u64> {
        let histogram = self.0.as_ref().filter(|histogram| !histogram.is_empty())?;
        Some(histogram.value_at_quantile(quantile))
    }

    fn record_n(&mut self, duration_ms: u64, count: u64) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record_n(duration_ms.clamp(1, MAX_DURATION_MS), count);
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
            recorded.map(|entry| (entry.value_iterated_to(), u64::from(entry.count_at_value())))
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
