//! Options that all experiments share.

use crate::experiment::storm::FailureKind;
use fleet::Preset;

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Seed of the faults and of the stand-ins.
    pub seed: u64,
    /// Length of the load.
    pub duration_s: u64,
    /// Whether only the JSON line is printed.
    pub is_json: bool,
    /// Recovery preset of the service.
    pub preset: Preset,
    /// Recovery policy of the daemons, as in their settings.
    pub policy: String,
    /// Generations after which the load ends early, once all failures have happened; 0 for no bound.
    pub generations: u64,
    /// Failures after which no other follows; 0 for no bound.
    pub failures: u64,
    /// Kinds of engine failure, used in turn.
    pub kinds: Vec<FailureKind>,
}
