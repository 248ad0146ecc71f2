//! Value that is learned from samples and returns to a usual value as it ages.

use crate::learning::Learning;

/// Exponentially weighted moving average that decays toward a usual value while there are no samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedValue {
    /// Average after the last sample, and the time of that sample; `None` before the first one.
    last: Option<(f64, u64)>,
}

impl LearnedValue {
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

    /// Learned value at `now_ms`; the usual value if there was no sample.
    pub fn get(&self, usual: Option<f64>, learning: &Learning, now_ms: u64) -> Option<f64> {
        let Some((average, at_ms)) = self.last else { return usual };
        let usual = usual.unwrap_or(average);
        let age_ms = now_ms.saturating_sub(at_ms) as f64;
        Some(usual + (average - usual) * (-age_ms / learning.decay_ms as f64).exp())
    }
}
