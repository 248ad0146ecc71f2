//! Runs an experiment by name. Its processes are this program again, in another role.

use argh::FromArgs;
use bench::{
    BenchError,
    experiment::{self, EXPERIMENTS, ExperimentOptions},
    role::{self, RoleOptions},
};
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
    /// print the JSON line only
    #[argh(switch)]
    json: bool,
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
        Some(Command::Run(run)) => start(run),
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

fn start(run: &RunOptions) -> Result<(), BenchError> {
    let program = std::env::current_exe()?;
    let options = ExperimentOptions { seed: run.seed, duration_s: run.seconds, is_json: run.json };
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(experiment::run(&run.name, &program, &options))
}
