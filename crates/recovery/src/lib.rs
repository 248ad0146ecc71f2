//! Recovery of generations: state machines without sockets or clocks.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod action;
mod attempt;
mod fail_cause;
mod generation;
mod input;
mod journal;
mod loss_cause;
mod policy;
mod stats;

pub use crate::{
    action::Action, attempt::AttemptId, fail_cause::FailCause, generation::Generation,
    input::Input, journal::Journal, loss_cause::LossCause, policy::Policy, stats::Stats,
};
