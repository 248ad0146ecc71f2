//! Policy for the recovery of generations.

use crate::{engine_signal::EngineSignal, restart_mode::RestartMode, timing::Timing};

/// Minimum of the reduced timeout of an engine that is no longer listed.
const REMOVED_FLOOR_MS: u64 = 100;

/// Factor by which the silence or first-token timeout is extended for an engine that works on the request. A second
/// prefill of the prompt takes longer than most such pauses, and adds to the load that causes them.
const WORKING_FACTOR: u64 = 5;

/// Maximum number of times that the silence or first-token timeout is doubled, once for each attempt without a new
/// token from the third on.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;

/// Maximum number of times that the backoff between attempts is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Time in which a suspected attempt and its replacement may both run. A request must not run at two engines for
/// 400 ms, and the cancelled engine needs some of that time to notice; most refusals arrive within milliseconds.
const HANDOVER_MS: u64 = 150;

/// Decides when another attempt starts and when a generation fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Minimum of the silence timeout.
    pub silence_floor_ms: u64,
    /// Silence timeout as a multiple of the usual gap between two tokens.
    pub silence_factor: f64,
    /// Maximum of the silence timeout before it is extended because of a signal or of attempts without a token.
    pub silence_cap_ms: u64,
    /// Minimum of the first-token timeout of an attempt.
    pub first_token_floor_ms: u64,
    /// First-token timeout as a multiple of the usual wait for the first token.
    pub first_token_factor: f64,
    /// Maximum of the first-token timeout, and its value until the usual wait is known.
    pub first_token_cap_ms: u64,
    /// Whether a suspected attempt keeps running as a hedge alongside the next one. Otherwise it runs only until the
    /// next one has replaced it.
    pub keeps_suspected_attempt: bool,
    /// Time after the send of a replacement in which a suspected attempt still runs, unless the replacement is accepted
    /// earlier. If the replacement is refused in this time, the suspected attempt may still go on.
    pub handover_ms: u64,
    /// Silence after which the generation fails if the suspected attempt could not be replaced.
    pub max_silence_ms: u64,
    /// Where a new attempt starts in the answer.
    pub restart: RestartMode,
    /// Number of consecutive attempts without a new token after which the generation fails.
    pub max_attempts_without_token: u32,
    /// Backoff before the next attempt if no engine was available. After failed attempts it is doubled for each
    /// consecutive attempt without a new token.
    pub retry_backoff_ms: u64,
    /// Time without an available engine, or without admission, after which the generation fails.
    pub no_upstream_timeout_ms: u64,
}

impl Policy {
    /// Preset for a low resume latency.
    pub const LATENCY: Self = Self {
        silence_floor_ms: 400,
        silence_factor: 8.0,
        silence_cap_ms: 1_200,
        first_token_floor_ms: 200,
        first_token_factor: 3.0,
        first_token_cap_ms: 2_500,
        keeps_suspected_attempt: true,
        handover_ms: HANDOVER_MS,
        max_silence_ms: 10_000,
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
        handover_ms: HANDOVER_MS,
        max_silence_ms: 15_000,
        restart: RestartMode::Continue,
        max_attempts_without_token: 12,
        retry_backoff_ms: 100,
        no_upstream_timeout_ms: 15_000,
    };

    /// Preset for streams whose events hold several tokens and whose prompts are long. It does not hedge, because a
    /// second attempt alongside a suspected one would execute the same request twice: a suspected attempt runs only
    /// until its replacement is accepted.
    pub const EVENTS: Self = Self {
        silence_floor_ms: 600,
        silence_factor: 2.0,
        silence_cap_ms: 1_200,
        first_token_floor_ms: 4_000,
        first_token_factor: 3.0,
        first_token_cap_ms: 8_000,
        keeps_suspected_attempt: false,
        handover_ms: HANDOVER_MS,
        // The deadline of the request ends the stream long before.
        max_silence_ms: 3_600_000,
        restart: RestartMode::Continue,
        max_attempts_without_token: 12,
        retry_backoff_ms: 100,
        no_upstream_timeout_ms: 15_000,
    };

    /// Baseline that resumes after a fixed timeout, independent of the usual times.
    pub const FIXED_TIMEOUT: Self = Self {
        silence_floor_ms: 2_000,
        silence_factor: 0.0,
        silence_cap_ms: 2_000,
        first_token_floor_ms: 2_000,
        first_token_factor: 0.0,
        first_token_cap_ms: 2_000,
        ..Self::ECONOMY
    };

    /// Baseline that restarts from the prompt.
    pub const RESTART: Self = Self {
        // The wait for the first new token includes the tokens that are decoded again, so a long wait is no sign of a
        // failure.
        first_token_floor_ms: 60_000,
        first_token_cap_ms: 60_000,
        restart: RestartMode::Regenerate,
        ..Self::FIXED_TIMEOUT
    };

    /// Silence timeout: time without a token after which an attempt that delivered tokens is suspected.
    pub fn silence_ms(&self, timing: Timing) -> u64 {
        let scaled_ms = (timing.gap_ms * self.silence_factor) as u64;
        scaled_ms.min(self.silence_cap_ms).max(self.silence_floor_ms)
    }

    /// First-token timeout: time without a token after which an attempt that delivered none is suspected.
    pub fn first_token_ms(&self, timing: Timing) -> u64 {
        let Some(usual_ms) = timing.first_token_ms else { return self.first_token_cap_ms };
        let scaled_ms = (usual_ms * self.first_token_factor) as u64;
        scaled_ms.min(self.first_token_cap_ms).max(self.first_token_floor_ms)
    }

    /// Returns the timeout `wait_ms`, adjusted to the signal about the engine.
    pub(crate) fn adjusted_wait_ms(
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
                let removed_ms = REMOVED_FLOOR_MS.max((2.0 * timing.gap_ms) as u64);
                wait_ms.min(removed_ms)
            }
        }
    }

    /// Returns the timeout `wait_ms`, extended after attempts without a new token. The extension doubles, so that if
    /// all engines become slow, their attempts are not cancelled again and again before the next token.
    pub(crate) fn wait_with_backoff_ms(&self, wait_ms: u64, attempts_without_token: u32) -> u64 {
        let doublings = attempts_without_token.saturating_sub(2).min(MAX_TIMEOUT_DOUBLINGS);
        wait_ms << doublings
    }

    /// Returns the backoff before the next attempt in milliseconds, given the number of consecutive attempts without a
    /// new token. It is 0 after one such attempt, so that the first recovery attempt starts at once.
    pub(crate) fn backoff_ms(&self, attempts_without_token: u32) -> u64 {
        match attempts_without_token {
            0 | 1 => 0,
            count => self.retry_backoff_ms << (count - 2).min(MAX_BACKOFF_DOUBLINGS),
        }
    }
}
