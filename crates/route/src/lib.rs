//! Upstream selection: load estimates, health, prefix cache hints and the selection policies.
//!
//! An entry is a process that accepts client requests and sends them to upstreams. Entries share the upstreams, but do
//! not coordinate their selections. The crate does no I/O and reads no clock; callers pass the current time.
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
mod engine_rates;
mod health;
mod learned_value;
mod learning;
mod load_history;
mod load_report;
mod policy;
mod policy_error;
mod prefix_set;
mod short_reserve;
mod speed_sample;
mod timed_candidate;
mod timed_choice;
mod usual_engine_rates;

pub use crate::{
    block_hashes::block_hashes, candidate::Candidate, choice::choose, engine_rates::EngineRates,
    health::Health, learned_value::LearnedValue, learning::Learning, load_history::LoadHistory,
    load_report::LoadReport, policy::Policy, policy_error::PolicyError, prefix_set::PrefixSet,
    short_reserve::short_reserve, speed_sample::sample_by_speed, timed_candidate::TimedCandidate,
    timed_choice::choose_by_time, usual_engine_rates::UsualEngineRates,
};
