//! Percentiles of samples.

/// Sorts the samples and returns the smallest one that at least `percent` in 100 of them do not exceed (nearest rank).
/// Returns 0 without samples.
pub fn percentile(samples: &mut [u64], percent: usize) -> u64 {
    samples.sort_unstable();
    let rank = (samples.len() * percent).div_ceil(100);
    samples.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}
