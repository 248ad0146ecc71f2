//! Histogram of durations that forgets old samples.

/// Buckets for each doubling, which bounds the error of a percentile to 9%.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// Number of buckets; the last one starts at about 65 s.
const BUCKETS: usize = 129;

/// Samples after which all counts are halved, so that a change of load shows within as many samples.
const WINDOW_SAMPLES: u32 = 20_000;

/// Histogram with logarithmic buckets, halved whenever it is full.
#[derive(Clone, Debug)]
pub(crate) struct Histogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl Histogram {
    /// Number of samples that are remembered.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Adds a sample.
    pub fn add(&mut self, sample_ms: u64) {
        self.counts[bucket(sample_ms)] += 1;
        self.total += 1;
        if self.total >= WINDOW_SAMPLES {
            self.halve();
        }
    }

    /// Upper end of the bucket that holds a percentile; 0 without samples.
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

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket(sample_ms: u64) -> usize {
    let position = (sample_ms.max(1) as f64).log2() * BUCKETS_PER_DOUBLING;
    (position.ceil() as usize).min(BUCKETS - 1)
}
