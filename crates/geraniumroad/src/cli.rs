//! Options and subcommands of the daemon, with their help texts.

use crate::run_error::RunError;
use argh::FromArgs;
use platform::SETTINGS_VARIABLE;
use std::path::PathBuf;

/// Serving system for long generations on engines that fail.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// print the version
    #[argh(switch)]
    pub version: bool,
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// Commands of the daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Check(CheckOptions),
    Dev(DevOptions),
    Run(RunOptions),
    Serve(ServeOptions),
}

/// Check a settings file and report every mistake with its key, its line and what is allowed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckOptions {
    /// settings file in TOML
    #[argh(option)]
    pub settings: PathBuf,
}

/// Serve callers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunOptions {
    /// settings file in TOML
    #[argh(option)]
    pub settings: PathBuf,
}

/// Run platform, engines and an entry in this process, while engines die at intervals.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dev")]
pub struct DevOptions {
    /// send generations, check every answer, print a report and exit
    #[argh(switch)]
    pub once: bool,
    /// seed of the stand-ins and of the engines' deaths
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print the report of --once as one JSON line only
    #[argh(switch)]
    pub json: bool,
}

/// Serve callers on the users' platform, with the settings file that the platform writes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeOptions {
    /// settings file in JSON; by default the one that GERANIUMROAD_NODE_FILE names
    #[argh(option)]
    pub settings: Option<PathBuf>,
}

impl ServeOptions {
    /// Returns the path of the settings file from the option, or else from the environment variable.
    ///
    /// # Errors
    ///
    /// `NoSettingsFile` if neither the option nor the environment variable names a file.
    pub fn settings_path(&self) -> Result<PathBuf, RunError> {
        let from_env = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        self.settings.clone().or_else(from_env).ok_or(RunError::NoSettingsFile)
    }
}
