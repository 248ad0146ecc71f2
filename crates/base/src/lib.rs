//! Names, key hashes, collections, clock and locks that all crates share.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod clock;
mod collections;
mod excerpt;
mod key_hash;
mod key_hash_error;
mod lock;
mod name;
mod name_error;
mod stable_hash;

pub use crate::{
    clock::Clock,
    collections::{HashMap, HashSet},
    excerpt::Excerpt,
    key_hash::KeyHash,
    key_hash_error::KeyHashError,
    lock::lock,
    name::{
        AccountName, DomainName, ModelName, OperatorName, PlanId, ServiceName, VersionName, VmId,
    },
    name_error::NameError,
    stable_hash::stable_hash,
};
