//! Options that all experiments take from the command line. Each experiment uses those that apply to it.

use crate::experiment::fault_injection::FailureKind;
use fleet::Preset;

/// Options of an experiment. Fields whose text names an experiment are used by that one only.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Seed of the random faults and loads, and of the fakes.
    pub seed: u64,
    /// Duration of the load. Of the experiments with several loads, some divide it among them and others use it for
    /// each.
    pub duration_s: u64,
    /// Whether only the report is printed, as one line of JSON.
    pub is_json: bool,
    /// Recovery preset of the generation service.
    pub preset: Preset,
    /// Value of the setting `policy` in the section `[recovery]` of the daemons.
    pub policy: String,
    /// Number of requested answers after which the load ends before `duration_s`, provided that `failures` engine
    /// failures have been injected; 0 if only `duration_s` ends the load.
    pub generations: u64,
    /// Largest number of engine failures to inject; 0 for no limit.
    pub failures: u64,
    /// Kinds of engine failure that `engine-deaths` injects in turn.
    pub kinds: Vec<FailureKind>,
}
