//! Section `[recovery]`.

use crate::section::{Section, Source};
use quick_error::quick_error;
use std::str::FromStr;
use toml::de::DeTable;

/// Largest factor of the usual gap, which is about 40 s of silence at 41 ms between tokens.
const MAX_SILENCE_FACTOR: u64 = 1_000;

quick_error! {
    /// The name of a recovery policy is unknown.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum RecoveryPolicyError {
        /// The name is unknown.
        Unknown {
            display("unknown policy")
        }
    }
}

/// Which policy generations recover by.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RecoveryPolicy {
    /// Baseline: resume after a fixed timeout.
    FixedTimeout,
    /// The preset of the service.
    #[default]
    Preset,
    /// Baseline: restart from nothing.
    Restart,
}

impl FromStr for RecoveryPolicy {
    type Err = RecoveryPolicyError;

    fn from_str(text: &str) -> Result<Self, RecoveryPolicyError> {
        match text {
            "fixed-timeout" => Ok(Self::FixedTimeout),
            "preset" => Ok(Self::Preset),
            "restart" => Ok(Self::Restart),
            _ => Err(RecoveryPolicyError::Unknown),
        }
    }
}

/// Recovery of generations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecoverySettings {
    /// Policy.
    pub policy: RecoveryPolicy,
    /// Silence below this time is never suspicious; 0 for the value of the policy.
    pub silence_floor_ms: u64,
    /// Silence is suspicious after this many times the usual gap; 0 for the value of the policy.
    pub silence_factor: u64,
    /// Recovery attempts a second for each service.
    pub attempts_per_s: u64,
    /// Recovery attempts of a service that may start at once after a quiet time.
    pub burst: u64,
    /// Recovery attempts of a service that may wait for their first token at a time.
    pub max_concurrent: u64,
}

impl Default for RecoverySettings {
    fn default() -> Self {
        Self {
            policy: RecoveryPolicy::Preset,
            silence_floor_ms: 0,
            silence_factor: 0,
            attempts_per_s: 200,
            burst: 100,
            max_concurrent: 64,
        }
    }
}

impl RecoverySettings {
    pub(crate) fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Self {
        let default = Self::default();
        let mut section = Section::open("recovery", root, source);
        let policies = "preset, fixed-timeout, restart";
        let policy = section.parsed("policy", policies, default.policy, source);
        let silence_floor_ms = section.integer("silence_floor_ms", 0..=60_000, 0, source);
        let silence_factor = section.integer("silence_factor", 0..=MAX_SILENCE_FACTOR, 0, source);
        let attempts_per_s =
            section.integer("attempts_per_s", 1..=100_000, default.attempts_per_s, source);
        let burst = section.integer("burst", 1..=100_000, default.burst, source);
        let max_concurrent =
            section.integer("max_concurrent", 1..=100_000, default.max_concurrent, source);
        section.close(source);
        Self { policy, silence_floor_ms, silence_factor, attempts_per_s, burst, max_concurrent }
    }
}
