//! Choice of an upstream: plain functions and state without sockets or clocks.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod block_hashes;
mod candidate;
mod choice;
mod health;
mod load_history;
mod load_report;
mod policy;
mod policy_error;
mod prefix_set;
mod short_reserve;

pub use crate::{
    block_hashes::block_hashes, candidate::Candidate, choice::choose, health::Health,
    load_history::LoadHistory, load_report::LoadReport, policy::Policy, policy_error::PolicyError,
    prefix_set::PrefixSet, short_reserve::short_reserve,
};
