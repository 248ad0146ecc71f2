//! Client of the platform: key-value service and list of VMs.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod kv;
mod platform;
mod platform_error;
mod resolved;
mod write_resolved;

pub use crate::{
    kv::Kv, platform::Platform, platform_error::PlatformError, resolved::Resolved,
    write_resolved::write_resolved,
};
