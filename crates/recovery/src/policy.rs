//! Recovery policy.

use crate::{engine_signal::EngineSignal, restart_mode::RestartMode, timing::Timing};

/// Shortest silence that is suspicious of an engine that is not listed any more.
const REMOVED_FLOOR_MS: u64 = 100;

/// Times that a silence may be longer than usual at an engine that works on the request. Reading the prompt again takes
/// longer than most such pauses, and adds to the load that causes them.
const WORKING_FACTOR: u64 = 5;

/// Doublings of the silence timeout at most, one for each attempt without a new token.
const MAX_DOUBLINGS: u32 = 3;

/// Doublings of the pause between attempts at most.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// When a second attempt starts and when a generation is given up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Silence below this time is never suspicious.
    pub silence_floor_ms: u64,
    /// Silence is suspicious after this many times the usual gap.
    pub silence_factor: f64,
    /// Silence is always suspicious after this time, unless attempts before brought no token.
    pub silence_cap_ms: u64,
    /// Wait for the first token of an attempt below which it is never suspicious.
    pub first_token_floor_ms: u64,
    /// Wait for the first token is suspicious after this many times the usual one.
    pub first_token_factor: f64,
    /// Longest wait for the first token of an attempt; also the wait until the usual one is known.
    pub first_token_cap_ms: u64,
    /// Whether a suspected attempt goes on beside the second one.
    pub keeps_suspected_attempt: bool,
    /// Where new attempts start.
    pub restart: RestartMode,
    /// Consecutive attempts without a new token before the generation fails.
    pub max_attempts_without_token: u32,
    /// Pause before the next try when no engine was available; doubled for each attempt that failed at once.
    pub retry_backoff_ms: u64,
    /// Time without any engine, or without admission, after which the generation fails.
    pub no_upstream_timeout_ms: u64,
}

impl Policy {
    /// Preset for low resume latency.
    pub const LATENCY: Self = Self {
        silence_floor_ms: 400,
        silence_factor: 8.0,
        silence_cap_ms: 1_200,
        first_token_floor_ms: 200,
        first_token_factor: 3.0,
        first_token_cap_ms: 2_500,
        keeps_suspected_attempt: true,
        restart: RestartMode::Continue,
        max_attempts_without_token: 12,
        retry_backoff_ms: 50,
        no_upstream_timeout_ms: 10_000,
    };

    /// Preset for little extra engine work.
    pub const ECONOMY: Self = Self {
        silence_floor_ms: 1_200,
        silence_factor: 24.0,
        silence_cap_ms: 1_500,
        first_token_floor_ms: 600,
        first_token_factor: 6.0,
        first_token_cap_ms: 8_000,
        keeps_suspected_attempt: false,
        restart: RestartMode::Continue,
        max_attempts_without_token: 12,
        retry_backoff_ms: 100,
        no_upstream_timeout_ms: 15_000,
    };

    /// Preset for streams whose events hold several tokens, and whose prompt is long. A second attempt beside a suspected
    /// one would be a second run of the same request.
    pub const EVENTS: Self = Self {
        silence_floor_ms: 600,
        silence_factor: 2.0,
        silence_cap_ms: 1_200,
        first_token_floor_ms: 4_000,
        first_token_factor: 3.0,
        first_token_cap_ms: 8_000,
        keeps_suspected_attempt: false,
        restart: RestartMode::Continue,
        max_attempts_without_token: 12,
        retry_backoff_ms: 100,
        no_upstream_timeout_ms: 15_000,
    };

    /// Baseline: resume after a fixed timeout, whatever the usual times are.
    pub const FIXED_TIMEOUT: Self = Self {
        silence_floor_ms: 2_000,
        silence_factor: 0.0,
        silence_cap_ms: 2_000,
        first_token_floor_ms: 2_000,
        first_token_factor: 0.0,
        first_token_cap_ms: 2_000,
        ..Self::ECONOMY
    };

    /// Baseline: restart from nothing.
    pub const RESTART: Self = Self {
        // The tokens that are decoded again precede the first one, so its wait says nothing.
        first_token_floor_ms: 60_000,
        first_token_cap_ms: 60_000,
        restart: RestartMode::Regenerate,
        ..Self::FIXED_TIMEOUT
    };

    /// Silence after which an attempt that brought tokens is suspected.
    pub fn silence_ms(&self, timing: Timing) -> u64 {
        let scaled_ms = (timing.gap_ms * self.silence_factor) as u64;
        scaled_ms.min(self.silence_cap_ms).max(self.silence_floor_ms)
    }

    /// Wait for the first token after which an attempt is suspected.
    pub fn first_token_ms(&self, timing: Timing) -> u64 {
        let Some(usual_ms) = timing.first_token_ms else { return self.first_token_cap_ms };
        let scaled_ms = (usual_ms * self.first_token_factor) as u64;
        scaled_ms.min(self.first_token_cap_ms).max(self.first_token_floor_ms)
    }

    /// What `wait_ms` becomes with a sign.
    pub(crate) fn wait_with_signal_ms(
        &self,
        wait_ms: u64,
        signal: Option<EngineSignal>,
        timing: Timing,
    ) -> u64 {
        match signal {
            None => wait_ms,
            Some(EngineSignal::Leaving) => wait_ms / 2,
            Some(EngineSignal::Working) => wait_ms * WORKING_FACTOR,
            Some(EngineSignal::Removed) => {
                let short_ms = REMOVED_FLOOR_MS.max((2.0 * timing.gap_ms) as u64);
                wait_ms.min(short_ms)
            }
        }
    }

    /// Wait after some attempts without a new token. It grows, so that engines that all became slow are not cancelled
    /// again and again before their next token.
    pub(crate) fn backed_off_ms(&self, wait_ms: u64, attempts_without_token: u32) -> u64 {
        let doublings = attempts_without_token.saturating_sub(2).min(MAX_DOUBLINGS);
        wait_ms << doublings
    }

    /// Pause before the next attempt after some that failed. The first recovery starts at once.
    pub(crate) fn pause_ms(&self, attempts_without_token: u32) -> u64 {
        match attempts_without_token {
            0 | 1 => 0,
            count => self.retry_backoff_ms << (count - 2).min(MAX_PAUSE_DOUBLINGS),
        }
    }
}
