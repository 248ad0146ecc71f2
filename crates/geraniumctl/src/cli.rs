//! Options and subcommands of `geraniumctl`, with their help texts.

use argh::FromArgs;
use std::{net::SocketAddr, path::PathBuf};

/// Operators' program of geraniumroad. Exit codes: 0 done, 1 failed, 2 usage, 3 refused as stale, 4 platform
/// unavailable or outcome unknown.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// print the version
    #[argh(switch)]
    pub version: bool,
    /// address of a daemon's administration server; else GERANIUMCTL_SERVER, else the access file
    #[argh(option)]
    pub server: Option<SocketAddr>,
    /// operator key; else GERANIUMCTL_KEY, else the access file
    #[argh(option)]
    pub key: Option<String>,
    /// access file in TOML with `server` and `key`; else GERANIUMCTL_ACCESS
    #[argh(option)]
    pub access: Option<PathBuf>,
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// Commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Confirm(ConfirmOptions),
    Diff(DiffOptions),
    Explain(ExplainOptions),
    History(HistoryOptions),
    Losses(LossesOptions),
    Plan(PlanOptions),
    Report(ReportOptions),
    Show(ShowOptions),
    Status(StatusOptions),
    Watch(WatchOptions),
}

impl Command {
    /// Returns whether the command prints JSON.
    pub fn is_json(&self) -> bool {
        match self {
            Self::Confirm(options) => options.json,
            Self::Diff(options) => options.json,
            Self::Explain(_) => false,
            Self::History(options) => options.json,
            Self::Losses(options) => options.json,
            Self::Plan(options) => options.json,
            Self::Report(ReportOptions { report: Report::Burn(options) }) => options.json,
            Self::Show(options) => options.json,
            Self::Status(options) => options.json,
            Self::Watch(options) => options.json,
        }
    }
}

/// Apply a plan. Confirming twice is harmless.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "confirm")]
pub struct ConfirmOptions {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// plan
    #[argh(positional)]
    pub plan: String,
}

/// Show the difference between two revisions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffOptions {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// older revision
    #[argh(positional)]
    pub from: u64,
    /// newer revision; the present one if it is left out
    #[argh(positional)]
    pub to: Option<u64>,
}

/// Tell what happened to one request, from the logs of the daemons. It needs no server and no key.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainOptions {
    /// identifier of the request
    #[argh(positional)]
    pub id: String,
    /// files of log lines; standard input if there is none
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Show confirmed plans, the oldest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryOptions {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// number of plans
    #[argh(option, default = "32")]
    pub limit: u64,
}

/// Count the requests that failed or came late, by 2-second window and cause, from the logs of the daemons. It needs no
/// server and no key.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "losses")]
pub struct LossesOptions {
    /// print one JSON array
    #[argh(switch)]
    pub json: bool,
    /// files of log lines; standard input if there is none
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Plan a change; nothing changes until the plan is confirmed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanOptions {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// a file in JSON or TOML, or intents such as `create account NAME requests_per_s=10`, separated by `,`
    #[argh(positional)]
    pub words: Vec<String>,
}

/// Report on the fleet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportOptions {
    #[argh(subcommand)]
    pub report: Report,
}

/// Reports.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Report {
    Burn(BurnOptions),
}

/// Show how fast each service spends the budgets of its objectives, over 5 min, 1 h, 6 h and 3 d, and which entries did
/// not answer. Levels: page (act now), ticket (work on it in the next days), ok.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct BurnOptions {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// also write the report with plots to this HTML file, which needs no other file
    #[argh(option)]
    pub html: Option<PathBuf>,
}

/// Show a plan.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowOptions {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// plan
    #[argh(positional)]
    pub plan: String,
}

/// Show the state of the daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusOptions {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
}

/// Wait until the daemon has a revision above the given one in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct WatchOptions {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// revision to wait beyond; the present one if it is left out
    #[argh(option)]
    pub after: Option<u64>,
    /// longest wait in milliseconds, at most 30000
    #[argh(option, default = "30000")]
    pub wait_ms: u64,
}
