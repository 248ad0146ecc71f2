//! Recovery of generations: state machines without sockets or clocks.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod action;
mod append;
mod append_status;
mod attempt;
mod claim_error;
mod cursor;
mod cursor_error;
mod fail_cause;
mod generation;
mod histogram;
mod input;
mod install;
mod journal;
mod loss_cause;
mod pace;
mod pacer;
mod policy;
mod replica;
mod replica_limits;
mod replica_store;
mod restart_mode;
mod sample;
mod stats;
mod suspect;
mod timing;
mod timing_tracker;
mod view;
mod view_id;
mod vm_sign;

pub use crate::{
    action::Action,
    append::Append,
    append_status::AppendStatus,
    attempt::AttemptId,
    claim_error::ClaimError,
    cursor::Cursor,
    cursor_error::CursorError,
    fail_cause::FailCause,
    generation::Generation,
    input::Input,
    install::Install,
    journal::Journal,
    loss_cause::LossCause,
    pace::Pace,
    pacer::{Pacer, Ticket},
    policy::Policy,
    replica::Replica,
    replica_limits::ReplicaLimits,
    replica_store::ReplicaStore,
    restart_mode::RestartMode,
    sample::Sample,
    stats::Stats,
    suspect::Suspect,
    timing::Timing,
    timing_tracker::TimingTracker,
    view::View,
    view_id::ViewId,
    vm_sign::VmSign,
};
