//! Section `[recovery]` of the settings file: recovery of generations whose engine fails.

use crate::section::{Section, Source};
use quick_error::quick_error;
use std::str::FromStr;
use toml::de::DeTable;

/// Maximum of `silence_factor`. With a gap of 41 ms between tokens, it results in a silence timeout of about 40 s.
const MAX_SILENCE_FACTOR: u64 = 1_000;

quick_error! {
    /// Error of parsing the name of a recovery policy.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum RecoveryPolicyError {
        /// There is no recovery policy of this name.
        Unknown {
            display("unknown policy")
        }
    }
}

/// Policy for the recovery of generations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RecoveryPolicy {
    /// Resume at another engine after a fixed timeout. A baseline for comparisons.
    FixedTimeout,
    /// Use the preset that the service has in the configuration.
    #[default]
    Preset,
    /// Restart at another engine from the first token. A baseline for comparisons.
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

/// Settings of the recovery of generations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecoverySettings {
    /// Policy that decides when and how a generation is recovered.
    pub policy: RecoveryPolicy,
    /// Minimum of the failure detector's silence timeout; 0 for the policy's value.
    pub silence_floor_ms: u64,
    /// Silence timeout as a multiple of the usual gap between two tokens; 0 for the policy's value.
    pub silence_factor: u64,
    /// Maximum rate of recovery attempts for each service.
    pub attempts_per_s: u64,
    /// Number of recovery attempts of a service that may start at once after a time without any.
    pub burst: u64,
    /// Maximum number of recovery attempts of a service that wait for their first token at the same time.
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
    /// Reads the section. Missing keys get their defaults.
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
