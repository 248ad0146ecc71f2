//! Limits on the recovery attempts of a service.

/// Limits on the recovery attempts of one service at one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryLimits {
    /// Rate at which attempts may start, per second.
    pub attempts_per_s: u32,
    /// Number of attempts that may start at once when the token bucket is full.
    pub burst: u32,
    /// Number of admitted attempts that may wait for their first token at the same time.
    pub max_concurrent: u32,
}

impl Default for RecoveryLimits {
    fn default() -> Self {
        Self { attempts_per_s: 200, burst: 100, max_concurrent: 64 }
    }
}
