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
mod histogram;
mod input;
mod journal;
mod loss_cause;
mod pace;
mod pacer;
mod policy;
mod restart_mode;
mod sample;
mod stats;
mod suspect;
mod timing;
mod timing_tracker;
mod vm_sign;

pub use crate::{
    action::Action,
    attempt::AttemptId,
    fail_cause::FailCause,
    generation::Generation,
    input::Input,
    journal::Journal,
    loss_cause::LossCause,
    pace::Pace,
    pacer::{Pacer, Ticket},
    policy::Policy,
    restart_mode::RestartMode,
    sample::Sample,
    stats::Stats,
    suspect::Suspect,
    timing::Timing,
    timing_tracker::TimingTracker,
    vm_sign::VmSign,
};
