//! Experiments by name.

mod engine_deaths;
mod frontier;
mod options;
mod storm;

pub use self::options::ExperimentOptions;
use crate::bench_error::BenchError;
use std::path::Path;

/// Names of all experiments with what they show.
pub const EXPERIMENTS: [(&str, &str); 2] = [
    ("engine-deaths", "answers stay whole while engines die"),
    ("frontier", "resume latency against extra engine work, with baselines"),
];

/// Runs an experiment with `program` as the executable of its processes.
///
/// # Errors
///
/// There is no such experiment, it could not run, or a promise broke.
pub async fn run(
    name: &str,
    program: &Path,
    options: &ExperimentOptions,
) -> Result<(), BenchError> {
    match name {
        "engine-deaths" => engine_deaths::run(program, options).await,
        "frontier" => frontier::run(program, options).await,
        _ => Err(BenchError::UnknownExperiment(name.to_owned())),
    }
}
