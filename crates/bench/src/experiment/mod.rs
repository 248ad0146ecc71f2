//! Lists all experiments and runs one of them by name. Each experiment starts a cluster, puts load on it, injects
//! faults, prints a report in JSON and checks it.

mod account_limits;
mod at_most_once;
mod capacity;
mod config_spread;
mod drain;
mod engine_deaths;
mod entry_deaths;
mod everything;
mod fault_injection;
mod frontier;
mod journal_copies;
mod membership;
mod metrics;
mod open_load;
mod operator_races;
mod options;
mod overload;
mod partition;
mod relay;
mod routing;
mod short_during_recovery;

pub use self::{fault_injection::FailureKind, options::ExperimentOptions};
use crate::bench_error::BenchError;
use std::path::Path;

/// Names of all experiments, each with the property or figure that it shows.
pub const EXPERIMENTS: &[(&str, &str)] = &[
    ("account-limits", "rate that 7 entries admit together"),
    ("at-most-once", "no call runs twice, and none that was reported as not run has run"),
    (
        "capacity",
        "cost of a daemon by streams, client accounts and VMs, at three or more sizes each",
    ),
    ("config-spread", "time until a configuration change is in force everywhere"),
    ("drain", "no work for leaving upstreams, and no request cut off by a shutdown"),
    ("engine-deaths", "answers stay whole while engines die"),
    ("entry-deaths", "answers stay whole while entries die, sometimes together with engines"),
    ("everything", "all faults at once under the load of both deployments"),
    ("frontier", "resume latency against extra engine work, with baselines"),
    ("journal-copies", "delay and cost of journal copies for each token"),
    ("membership", "cost of the membership, detection of a lost daemon, false suspicions"),
    ("operator-races", "each confirmed plan is applied exactly once"),
    ("overload", "goodput at twice the capacity"),
    ("partition", "failure domains serve while they are cut from each other and from the platform"),
    ("relay", "cost and added delay of a relayed token"),
    ("routing", "time to the first token by each policy of the choice"),
    ("short-during-recovery", "short requests while a third of the engines is lost"),
];

/// Runs an experiment with `program` as the executable of its processes.
///
/// # Errors
///
/// There is no such experiment, it could not run, or one of its checks failed.
pub async fn run(
    name: &str,
    program: &Path,
    options: &ExperimentOptions,
) -> Result<(), BenchError> {
    match name {
        "account-limits" => account_limits::run(program, options).await,
        "at-most-once" => at_most_once::run(program, options).await,
        "capacity" => capacity::run(program, options).await,
        "config-spread" => config_spread::run(program, options).await,
        "drain" => drain::run(program, options).await,
        "engine-deaths" => engine_deaths::run(program, options).await,
        "entry-deaths" => entry_deaths::run(program, options).await,
        "everything" => everything::run(program, options).await,
        "frontier" => frontier::run(program, options).await,
        "journal-copies" => journal_copies::run(program, options).await,
        "membership" => membership::run(program, options).await,
        "operator-races" => operator_races::run(program, options).await,
        "overload" => overload::run(program, options).await,
        "partition" => partition::run(program, options).await,
        "relay" => relay::run(program, options).await,
        "routing" => routing::run(program, options).await,
        "short-during-recovery" => short_during_recovery::run(program, options).await,
        _ => Err(BenchError::UnknownExperiment(name.to_owned())),
    }
}
