//! Cluster of real processes on this machine.

mod layout;
mod node;
mod process;
mod services;

pub use self::{layout::Layout, node::Cluster, process::Process};
