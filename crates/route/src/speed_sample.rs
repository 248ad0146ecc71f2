//! Random sample of engines in proportion to their speed.

use rand::{Rng, seq::index};

/// Smallest and largest weight of an engine, so that slow ones are sampled now and then and a wrong rate has a bounded
/// effect.
const WEIGHT_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Returns the indices of `count` different engines, or of all if there are fewer, at random with weights in proportion
/// to their relative speeds.
pub fn sample_by_speed(speeds: &[f64], count: usize, rng: &mut impl Rng) -> Vec<usize> {
    let weight = |i: usize| match speeds[i] {
        speed if speed.is_nan() => 1.0,
        speed => speed.clamp(WEIGHT_BOUNDS.0, WEIGHT_BOUNDS.1),
    };
    let count = count.min(speeds.len());
    // All weights are finite and above zero, so that sampling fails for none.
    match index::sample_weighted(rng, speeds.len(), weight, count) {
        Ok(sample) => sample.into_vec(),
        Err(_) => (0..count).collect(),
    }
}
