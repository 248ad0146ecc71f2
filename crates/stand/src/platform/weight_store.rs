//! Computes when the transfers of a weight store with a limited rate complete.

/// Schedules the transfers one after another, because they share one transfer rate.
#[derive(Debug)]
pub(super) struct WeightStore {
    size_bytes: u64,
    rate_bytes_per_s: u64,
    transfer_limit: usize,
    /// Completion time of each running or queued transfer.
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

    /// Returns the size of the weights, which is the same for each model version.
    pub fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    /// Adds a transfer and returns its completion time. Returns `None` if the limit of concurrent transfers is reached.
    pub fn begin_transfer(&mut self, now_ms: u64) -> Option<u64> {
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
