//! Randomized soak test: runs real daemons as separate processes, injects faults from outside, and checks the daemon's
//! guarantees by what clients and upstreams observe.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod calm_draws;
mod cli;
mod clients;
mod crash_draw;
mod daemon_process;
mod fault_class;
mod fault_injector;
mod foreign_entries;
mod loopback_net;
mod rollout_draws;
mod run;
mod soak_error;
mod soak_report;
mod test_environment;

pub use crate::{
    cli::Cli, daemon_process::DaemonProcess, fault_class::FaultClass, loopback_net::LoopbackNet,
    run::run, soak_error::SoakError, soak_report::SoakReport,
};
