//! Experiments by name.

mod account_limits;
mod engine_deaths;
mod open_load;
mod options;
mod overload;
mod relay;
mod routing;
mod short_during_recovery;

pub use self::options::ExperimentOptions;
use crate::bench_error::BenchError;
use std::path::Path;

/// Names of all experiments with what they show.
pub const EXPERIMENTS: &[(&str, &str)] = &[
    ("account-limits", "rate that 7 entries admit together"),
    ("engine-deaths", "answers stay whole while engines die"),
    ("overload", "goodput at twice the capacity"),
    ("relay", "cost and added delay of a relayed token"),
    ("routing", "time to the first token by each policy of the choice"),
    ("short-during-recovery", "short requests while a third of the engines is lost"),
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
        "account-limits" => account_limits::run(program, options).await,
        "engine-deaths" => engine_deaths::run(program, options).await,
        "overload" => overload::run(program, options).await,
        "relay" => relay::run(program, options).await,
        "routing" => routing::run(program, options).await,
        "short-during-recovery" => short_during_recovery::run(program, options).await,
        _ => Err(BenchError::UnknownExperiment(name.to_owned())),
    }
}
