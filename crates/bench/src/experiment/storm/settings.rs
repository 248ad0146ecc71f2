//! Settings of a storm.

use crate::experiment::storm::failure::FailureKind;
use fleet::Preset;

/// Settings of a storm.
#[derive(Clone, Debug)]
pub struct StormSettings {
    /// Seed of the failures and of the stand-ins.
    pub seed: u64,
    /// Length of the load.
    pub duration_s: u64,
    /// Generations after which the load ends early, once all failures have happened; 0 for no bound.
    pub generations: u64,
    /// Failures after which no other follows; 0 for no bound.
    pub failures: u64,
    /// Recovery preset of the service.
    pub preset: Preset,
    /// Lines of the section `[recovery]`.
    pub recovery: String,
    /// Callers at a time.
    pub callers: usize,
    /// Engines in each of the three failure domains.
    pub engines_per_domain: usize,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Time between tokens.
    pub token_gap_ms: u64,
    /// Kinds of failure, used in turn.
    pub kinds: Vec<FailureKind>,
    /// Time between two failures.
    pub failure_interval_ms: u64,
}
