//! Command line of the operators' program.

use argh::FromArgs;

/// Operators' program of geraniumroad.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// print the version
    #[argh(switch)]
    pub version: bool,
}
