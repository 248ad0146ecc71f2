//! Client of the platform: key-value service and list of VMs.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod announce;
mod follow;
mod kv;
mod platform;
mod platform_error;
mod resolved;
mod source;
mod write_resolved;

pub use crate::{
    announce::{Announcer, announce},
    follow::{Follower, follow},
    kv::Kv,
    platform::Platform,
    platform_error::PlatformError,
    resolved::Resolved,
    source::{Change, Changes, Freshness, Source, SourceError},
    write_resolved::write_resolved,
};
