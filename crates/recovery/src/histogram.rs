//! Histogram of durations in which old samples decay.

/// Buckets for each doubling of the duration. Eight bound the error of a percentile to 9%.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// Number of buckets. The last one starts at about 65 s.
const BUCKET_COUNT: usize = 129;

/// Sum of the counts at which all counts are halved, so that a change of load shows within as many samples.
const MAX_SAMPLES: u32 = 20_000;

/// Histogram with logarithmic buckets. All counts are halved whenever their sum reaches `MAX_SAMPLES`.
#[derive(Clone, Debug)]
pub(crate) struct Histogram {
    counts: [u32; BUCKET_COUNT],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: [0; BUCKET_COUNT], total: 0 }
    }
}

impl Histogram {
    /// Sum of the counts, which is the number of samples that have not decayed.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Adds a duration in milliseconds.
    pub fn add(&mut self, sample_ms: u64) {
        self.counts[bucket_index(sample_ms)] += 1;
        self.total += 1;
        if self.total >= MAX_SAMPLES {
            self.halve_counts();
        }
    }

    /// Returns the upper bound of the bucket that contains a percentile, in milliseconds, or 0 without samples.
    pub fn percentile_ms(&self, percent: u64) -> f64 {
        let rank = (u64::from(self.total) * percent).div_ceil(100);
        let mut seen = 0;
        for (index, &count) in self.counts.iter().enumerate() {
            seen += u64::from(count);
            if count > 0 && seen >= rank {
                return (index as f64 / BUCKETS_PER_DOUBLING).exp2();
            }
        }
        0.0
    }

    fn halve_counts(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket_index(sample_ms: u64) -> usize {
    let position = (sample_ms.max(1) as f64).log2() * BUCKETS_PER_DOUBLING;
    (position.ceil() as usize).min(BUCKET_COUNT - 1)
}
