//! Decides at which software version of an upstream a stream may go on.
//!
//! The crate does no I/O and reads no clock; callers pass the current time.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod origin;
mod software_version;
mod stream_version;
mod take_up_error;
mod version_error;

pub use crate::{
    origin::Origin, software_version::SoftwareVersion, stream_version::StreamVersion,
    take_up_error::TakeUpError, version_error::VersionError,
};
