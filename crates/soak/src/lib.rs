//! Randomized soak: real daemons as separate processes, faults from outside, and checks of the promises from what
//! callers and upstreams see.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod cli;
mod clients;
mod daemon_process;
mod faults;
mod run;
mod site;
mod soak_error;
mod soak_report;

pub use crate::{cli::Cli, run::run, soak_error::SoakError, soak_report::SoakReport};
