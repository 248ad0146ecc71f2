//! Settings of a load with injected failures.

use crate::experiment::fault_injection::failure::FailureKind;
use fleet::Preset;

/// Settings of a load with injected failures.
#[derive(Clone, Debug)]
pub struct FaultInjectionSettings {
    /// Seed of the failures and of the fakes.
    pub seed: u64,
    /// Longest duration of the load.
    pub duration_s: u64,
    /// Number of generations after which the load ends early, once `failures` have been injected; 0 for no bound.
    pub generations: u64,
    /// Number of failures after which none is injected; 0 for no bound.
    pub failures: u64,
    /// Recovery preset of the generation service.
    pub preset: Preset,
    /// Lines of the section `[recovery]` of the daemons' settings.
    pub recovery: String,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Engines in each of the three failure domains.
    pub engines_per_domain: usize,
    /// Most tokens of each answer.
    pub tokens: u32,
    /// Time between two tokens of an engine stream.
    pub token_gap_ms: u64,
    /// Kinds of failure, which are injected in turn.
    pub kinds: Vec<FailureKind>,
    /// Time between two failures.
    pub failure_interval_ms: u64,
}
