//! Decides whether the process at the address of a lost instance is that instance after a restart.
//!
//! The crate does no I/O and reads no clock; callers pass the current time.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod lost_instances;

pub use crate::lost_instances::LostInstances;
