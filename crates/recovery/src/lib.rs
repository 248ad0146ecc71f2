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
mod input;
mod install;
mod journal;
mod loss_cause;
mod policy;
mod replica;
mod replica_limits;
mod replica_store;
mod stats;
mod view;
mod view_id;

pub use crate::{
    action::Action, append::Append, append_status::AppendStatus, attempt::AttemptId,
    claim_error::ClaimError, cursor::Cursor, cursor_error::CursorError, fail_cause::FailCause,
    generation::Generation, input::Input, install::Install, journal::Journal,
    loss_cause::LossCause, policy::Policy, replica::Replica, replica_limits::ReplicaLimits,
    replica_store::ReplicaStore, stats::Stats, view::View, view_id::ViewId,
};
