//! Cluster of real processes on this machine.

mod control;
mod layout;
mod node;
mod process;

pub use self::{layout::Layout, node::Cluster, process::Process};
