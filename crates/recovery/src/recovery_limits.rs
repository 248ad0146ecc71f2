//! Bounds on the recovery attempts of a service.

/// Bounds on the recovery attempts of one service at one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryLimits {
    /// Attempts a second.
    pub attempts_per_s: u32,
    /// Attempts that may start at once after a quiet time.
    pub burst: u32,
    /// Attempts that may wait for their first token at a time.
    pub max_concurrent: u32,
}

impl Default for RecoveryLimits {
    fn default() -> Self {
        Self { attempts_per_s: 200, burst: 100, max_concurrent: 64 }
    }
}
