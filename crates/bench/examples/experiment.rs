//! Runs an experiment by name. The experiment starts this program again in other roles as the processes of its cluster.

use argh::FromArgs;
use bench::{
    BenchError,
    experiment::{self, EXPERIMENTS, ExperimentOptions, FailureKind},
    role::{self, RoleOptions},
};
use fleet::Preset;
use std::process::ExitCode;
use tokio::runtime::Builder;

/// Run experiments on real processes.
#[derive(FromArgs)]
struct Options {
    /// list all experiments
    #[argh(switch)]
    list: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Role(RoleOptions),
    Run(RunOptions),
}

/// Run an experiment; `run` may be left out.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunOptions {
    /// name of the experiment
    #[argh(positional)]
    name: String,
    /// seed of the faults and of the stand-ins
    #[argh(option, default = "1")]
    seed: u64,
    /// length of the load in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// recovery preset: latency or economy
    #[argh(option, default = "Preset::Latency", from_str_fn(parse_preset))]
    preset: Preset,
    /// recovery policy: preset, fixed-timeout or restart
    #[argh(option, default = "String::from(\"preset\")", from_str_fn(parse_policy))]
    policy: String,
    /// generations after which the load ends early; 0 for no bound
    #[argh(option, default = "0")]
    generations: u64,
    /// failures after which no other follows; 0 for no bound
    #[argh(option, default = "0")]
    failures: u64,
    /// kinds of engine failure that `engine-deaths` uses in turn, separated by commas; all of them: kill, freeze,
    /// reset, silent, malformed, duplicate, skip, cross
    #[argh(option, default = "FailureKinds::all()", from_str_fn(parse_kinds))]
    kinds: FailureKinds,
    /// print the JSON line only
    #[argh(switch)]
    json: bool,
}

/// List of failure kinds. It has a type of its own, since `argh` treats a `Vec` as an option that may be repeated.
struct FailureKinds(Vec<FailureKind>);

impl FailureKinds {
    fn all() -> Self {
        Self(FailureKind::ALL.to_vec())
    }
}

fn main() -> ExitCode {
    let mut args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|arg| EXPERIMENTS.iter().any(|(name, _)| name == arg)) {
        args.insert(1, "run".to_owned());
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let options = match Options::from_args(&["experiment"], &args[1..]) {
        Ok(options) => options,
        Err(exit) => {
            println!("{}", exit.output);
            return if exit.status.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(2) };
        }
    };
    if options.list {
        for (name, purpose) in EXPERIMENTS {
            println!("{name:24} {purpose}");
        }
        return ExitCode::SUCCESS;
    }
    let outcome = match &options.command {
        Some(Command::Role(role)) => role::run(role),
        Some(Command::Run(run)) => run_experiment(run),
        None => {
            eprintln!("an experiment is needed; see --list");
            return ExitCode::from(2);
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(BenchError::Exit(code)) => ExitCode::from(code),
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn parse_preset(text: &str) -> Result<Preset, String> {
    match text {
        "economy" => Ok(Preset::Economy),
        "latency" => Ok(Preset::Latency),
        _ => Err("the presets are latency and economy".to_owned()),
    }
}

fn parse_policy(text: &str) -> Result<String, String> {
    match text {
        "preset" | "fixed-timeout" | "restart" => Ok(text.to_owned()),
        _ => Err("the policies are preset, fixed-timeout and restart".to_owned()),
    }
}

fn parse_kinds(text: &str) -> Result<FailureKinds, String> {
    FailureKind::parse_list(text).map(FailureKinds)
}

fn run_experiment(run: &RunOptions) -> Result<(), BenchError> {
    let program = std::env::current_exe()?;
    let options = ExperimentOptions {
        seed: run.seed,
        duration_s: run.seconds,
        is_json: run.json,
        preset: run.preset,
        policy: run.policy.clone(),
        generations: run.generations,
        failures: run.failures,
        kinds: run.kinds.0.clone(),
    };
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(experiment::run(&run.name, &program, &options))
}
