//! Cluster of real processes on this machine.

mod control;
mod ctl;
mod layout;
mod node;
mod process;
mod services;

pub use self::{ctl::CtlOutcome, layout::Layout, node::Cluster, process::Process};
