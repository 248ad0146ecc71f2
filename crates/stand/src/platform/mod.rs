//! Fake of the platform: key-value store, leases, list of VMs and weight store.

mod active_faults;
mod counts;
mod fault;
mod handler;
mod server;
mod settings;
mod store;
mod vm_change;
mod vm_history;
mod weight_store;

pub use self::{
    counts::PlatformCounts, fault::PlatformFault, server::Platform, settings::PlatformSettings,
    vm_change::VmChange,
};
