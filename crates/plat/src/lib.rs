//! Client of the platform: key-value service and list of VMs.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod platform;
mod platform_error;

pub use crate::{platform::Platform, platform_error::PlatformError};
