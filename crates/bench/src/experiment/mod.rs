//! Experiments by name.

mod at_most_once;
mod drain;
mod engine_deaths;
mod entry_deaths;
mod everything;
mod frontier;
mod journal_copies;
mod operator_races;
mod options;
mod relay;
mod storm;

pub use self::options::ExperimentOptions;
use crate::bench_error::BenchError;
use std::path::Path;

/// Names of all experiments with what they show.
pub const EXPERIMENTS: &[(&str, &str)] = &[
    ("at-most-once", "no call runs twice, and none that was reported as not run has run"),
    ("drain", "no work for leaving upstreams, and no request cut off by a shutdown"),
    ("engine-deaths", "answers stay whole while engines die"),
    ("entry-deaths", "answers stay whole while entries die, sometimes together with engines"),
    ("everything", "all faults at once under the load of both deployments"),
    ("frontier", "resume latency against extra engine work, with baselines"),
    ("journal-copies", "delay and cost of journal copies for each token"),
    ("operator-races", "each confirmed plan is applied exactly once"),
    ("relay", "cost and added delay of a relayed token"),
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
        "at-most-once" => at_most_once::run(program, options).await,
        "drain" => drain::run(program, options).await,
        "engine-deaths" => engine_deaths::run(program, options).await,
        "entry-deaths" => entry_deaths::run(program, options).await,
        "everything" => everything::run(program, options).await,
        "frontier" => frontier::run(program, options).await,
        "journal-copies" => journal_copies::run(program, options).await,
        "operator-races" => operator_races::run(program, options).await,
        "relay" => relay::run(program, options).await,
        _ => Err(BenchError::UnknownExperiment(name.to_owned())),
    }
}
