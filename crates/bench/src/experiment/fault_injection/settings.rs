//! Parameters with which an experiment starts the cluster, the load and the engine failures.

use crate::experiment::fault_injection::failure::FailureKind;
use fleet::Preset;

/// Size and settings of the cluster, length of the load, and frequency and kinds of the engine failures.
#[derive(Clone, Debug)]
pub struct FaultInjectionSettings {
    /// Seed of the fakes, and of the choice of failing engines and of the time for which they are frozen or silent.
    pub seed: u64,
    /// Largest duration of the load.
    pub duration_s: u64,
    /// Number of requests after which the load ends before `duration_s`, provided that `failures` failures have been
    /// injected; 0 if only `duration_s` ends the load.
    pub generations: u64,
    /// Largest number of failures to inject; 0 for no limit.
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
    /// Time between two tokens of a stream at its engine.
    pub token_gap_ms: u64,
    /// Kinds of failure that are injected in turn.
    pub kinds: Vec<FailureKind>,
    /// Time between two attempts to inject a failure.
    pub failure_interval_ms: u64,
}
