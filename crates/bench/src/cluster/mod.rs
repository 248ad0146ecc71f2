//! Cluster of real processes on this machine.

mod control;
mod daemon_settings;
mod layout;
mod network;
mod node;
mod process;

pub use self::{layout::Layout, network::Network, node::Cluster, process::Process};
