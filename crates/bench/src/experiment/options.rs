//! Options of an experiment. Each experiment uses those that apply to it.

use crate::experiment::fault_injection::FailureKind;
use fleet::Preset;

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Seed of the faults and of the fakes.
    pub seed: u64,
    /// Duration of the load.
    pub duration_s: u64,
    /// Whether only the JSON line is printed.
    pub is_json: bool,
    /// Recovery preset of the generation service.
    pub preset: Preset,
    /// Value of the setting `policy` in the section `[recovery]` of the daemons.
    pub policy: String,
    /// Number of generations after which the load ends early, once `failures` have been injected; 0 for no bound.
    pub generations: u64,
    /// Number of failures after which none is injected; 0 for no bound.
    pub failures: u64,
    /// Kinds of engine failure, which are injected in turn.
    pub kinds: Vec<FailureKind>,
}
