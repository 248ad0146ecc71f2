//! Command line of the example `soak`.

use argh::FromArgs;
use std::path::PathBuf;

/// Soak of the daemon on the users' platform. The seed fixes the faults and the load; processes run in real time, so a
/// run is not repeatable to the millisecond. Exit code 1: a promise was broken.
#[derive(Clone, Debug, FromArgs)]
pub struct Cli {
    /// seed of the faults and the load
    #[argh(option, default = "1")]
    pub seed: u64,
    /// length of the run in minutes
    #[argh(option, default = "1.0")]
    pub minutes: f64,
    /// number of daemons
    #[argh(option, default = "4")]
    pub daemons: u8,
    /// number of clients
    #[argh(option, default = "12")]
    pub clients: u32,
    /// program of the daemon; by default the one beside this program
    #[argh(option)]
    pub program: Option<PathBuf>,
}
