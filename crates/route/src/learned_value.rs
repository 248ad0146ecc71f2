//! Value that is learned from samples and returns to a usual value as it ages.

use crate::learning::Learning;

/// Exponentially weighted moving average that decays toward a usual value while there are no samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedValue {
    /// Average after the last sample, and the time of that sample; `None` before the first one.
    last: Option<(f64, u64)>,
}

impl LearnedValue {
    /// Creates a value that another process has learned, from its average and the time of its last sample; `None` if it
    /// has no sample. An average outside the bounds of samples is limited to them.
    pub fn from_learned(last: Option<(f64, u64)>, learning: &Learning) -> Self {
        let last = last.filter(|(average, _)| !average.is_nan());
        let (low, high) = learning.bounds;
        Self { last: last.map(|(average, at_ms)| (average.clamp(low, high), at_ms)) }
    }

    /// Takes over another value if its last sample is newer. Returns whether it is.
    pub fn merge(&mut self, other: &Self) -> bool {
        let at_ms = |value: &Self| value.last.map(|(_, at_ms)| at_ms);
        let is_newer = at_ms(other) > at_ms(self);
        if is_newer {
            *self = *other;
        }
        is_newer
    }

    /// Adds a sample. `usual` is the usual value of the service; `None` if it is not known, so that the first sample
    /// counts in full. A sample that is not a number is ignored.
    pub fn observe(&mut self, sample: f64, usual: Option<f64>, learning: &Learning, now_ms: u64) {
        if sample.is_nan() {
            return;
        }
        let sample = sample.clamp(learning.bounds.0, learning.bounds.1);
        let average = match self.get(usual, learning, now_ms) {
            None => sample,
            Some(before) => {
                let gain = if sample > before { learning.rise } else { learning.fall };
                before + gain * (sample - before)
            }
        };
        self.last = Some((average, now_ms));
    }

    /// Average after the last sample, and the time of that sample; `None` before the first one.
    pub fn last(&self) -> Option<(f64, u64)> {
        self.last
    }

    /// Learned value at `now_ms`; the usual value if there was no sample.
    pub fn get(&self, usual: Option<f64>, learning: &Learning, now_ms: u64) -> Option<f64> {
        let Some((average, at_ms)) = self.last else { return usual };
        let usual = usual.unwrap_or(average);
        let age_ms = now_ms.saturating_sub(at_ms) as f64;
        Some(usual + (average - usual) * (-age_ms / learning.decay_ms as f64).exp())
    }
}
