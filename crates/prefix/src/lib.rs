//! Weighs a cached prefix of a prompt against the wait at an engine.
//!
//! Requests with the same beginning are brought together at a few engines by a hash, without messages between daemons.
//! Whether a part is cached there is learned from the time to first event of the daemon's own requests. The result is the
//! expected time to first event at each engine, by which the caller chooses.
//!
//! The crate does no I/O and reads no clock; callers pass the current time.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod assignment;
mod basis;
mod engine_key;
mod engine_load;
mod expectation;
mod hit_rates;
mod part_key;
mod part_log;
mod prefix_model;
mod prompt;
mod prompt_error;
mod prompt_part;

pub use crate::{
    assignment::Assignment, basis::Basis, engine_key::EngineKey, engine_load::EngineLoad,
    expectation::Expectation, hit_rates::HitRates, part_key::PartKey, prefix_model::PrefixModel,
    prompt::Prompt, prompt_error::PromptError, prompt_part::PromptPart,
};
