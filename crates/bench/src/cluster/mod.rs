//! Cluster of daemons, engines, plain services and a platform that run as processes on this machine.

mod control;
mod ctl;
mod daemon_settings;
mod layout;
mod network;
mod node;
mod process;
mod program;
mod services;

pub use self::{
    ctl::CtlOutcome, layout::Layout, network::Network, node::Cluster, process::Process,
    program::program,
};
