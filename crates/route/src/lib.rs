//! Choice of an upstream: plain functions without sockets or clocks.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod candidate;
mod choice;

pub use crate::{candidate::Candidate, choice::choose};
