//! Recovery policy.

/// When a second attempt starts and when a generation is given up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Silence below this time is never suspicious.
    pub silence_floor_ms: u64,
    /// Silence is suspicious after this many times the usual gap.
    pub silence_factor: f64,
    /// Longest usual wait for the first token of an attempt.
    pub first_token_wait_ms: u64,
    /// Whether a suspected attempt goes on beside the second one.
    pub keeps_suspect: bool,
    /// Consecutive attempts without a new token before the generation fails.
    pub max_fruitless_attempts: u32,
    /// Pause before the next try when no engine was available.
    pub no_upstream_pause_ms: u64,
    /// Time without any engine after which the generation fails.
    pub no_upstream_limit_ms: u64,
}

impl Policy {
    /// Preset for low resume latency.
    pub const LATENCY: Self = Self {
        silence_floor_ms: 400,
        silence_factor: 8.0,
        first_token_wait_ms: 2_500,
        keeps_suspect: true,
        max_fruitless_attempts: 8,
        no_upstream_pause_ms: 50,
        no_upstream_limit_ms: 10_000,
    };

    /// Preset for little extra engine work.
    pub const ECONOMY: Self = Self {
        silence_floor_ms: 1_200,
        silence_factor: 24.0,
        first_token_wait_ms: 8_000,
        keeps_suspect: false,
        max_fruitless_attempts: 8,
        no_upstream_pause_ms: 200,
        no_upstream_limit_ms: 10_000,
    };

    /// Silence after which an attempt is suspected, for a usual gap in milliseconds.
    pub fn silence_ms(&self, usual_gap_ms: f64) -> u64 {
        let scaled_ms = usual_gap_ms * self.silence_factor;
        self.silence_floor_ms.max(scaled_ms as u64)
    }
}
