//! Percentiles of samples.

/// The value that `percent` in 100 samples stay within; 0 without samples. Sorts the samples.
pub fn percentile(samples: &mut [u64], percent: usize) -> u64 {
    samples.sort_unstable();
    let rank = (samples.len() * percent).div_ceil(100);
    samples.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}
