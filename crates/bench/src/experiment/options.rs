//! Options that all experiments share.

/// Options of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct ExperimentOptions {
    /// Seed of the faults and of the stand-ins.
    pub seed: u64,
    /// Length of the load.
    pub duration_s: u64,
    /// Whether only the JSON line is printed.
    pub is_json: bool,
}
