//! Rate-limited weight store.

/// Plans the transfers, which share one rate.
#[derive(Debug)]
pub(super) struct WeightStore {
    size_bytes: u64,
    rate_bytes_per_s: u64,
    transfer_limit: usize,
    /// End of each transfer that is running or planned.
    ends_at_ms: Vec<u64>,
}

impl WeightStore {
    pub fn new(size_bytes: u64, rate_bytes_per_s: u64, transfer_limit: usize) -> Self {
        Self {
            size_bytes,
            rate_bytes_per_s: rate_bytes_per_s.max(1),
            transfer_limit,
            ends_at_ms: Vec::new(),
        }
    }

    /// Size of each version's weights.
    pub fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    /// Starts a transfer and returns its end; `None` if there are too many.
    pub fn begin(&mut self, now_ms: u64) -> Option<u64> {
        self.ends_at_ms.retain(|&end_ms| end_ms > now_ms);
        if self.ends_at_ms.len() >= self.transfer_limit {
            return None;
        }
        let start_ms = self.ends_at_ms.last().copied().unwrap_or(now_ms);
        let end_ms = start_ms + self.size_bytes.saturating_mul(1_000) / self.rate_bytes_per_s;
        self.ends_at_ms.push(end_ms);
        Some(end_ms)
    }
}
