//! State machines that recover generations after the loss of engines and entries.
//!
//! They use no sockets and no clocks: the driver passes in events and the time, and performs the returned actions.
//!
//! An attempt is the execution of a generation at one engine. An entry is a daemon that streams answers to callers. It
//! owns the journal of each generation that it streams, which is the list of accepted tokens, and copies the journal to
//! another daemon, the replica holder. If the entry is lost, another entry claims the journal at the replica holder. A
//! view is the period during which one entry owns a journal.
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
mod engine_backoff;
mod engine_signal;
mod fail_cause;
mod generation;
mod histogram;
mod input;
mod journal;
mod loss_cause;
mod policy;
mod recovery_limiter;
mod recovery_limits;
mod replica;
mod replica_header;
mod replica_limits;
mod replica_store;
mod restart_mode;
mod stats;
mod timing;
mod timing_sample;
mod timing_tracker;
mod view;
mod view_id;

pub use crate::{
    action::Action,
    append::Append,
    append_status::AppendStatus,
    attempt::AttemptId,
    claim_error::ClaimError,
    cursor::Cursor,
    cursor_error::CursorError,
    engine_backoff::EngineBackoff,
    engine_signal::EngineSignal,
    fail_cause::FailCause,
    generation::Generation,
    input::Input,
    journal::Journal,
    loss_cause::LossCause,
    policy::Policy,
    recovery_limiter::{RecoveryLimiter, Ticket},
    recovery_limits::RecoveryLimits,
    replica::Replica,
    replica_header::ReplicaHeader,
    replica_limits::ReplicaLimits,
    replica_store::ReplicaStore,
    restart_mode::RestartMode,
    stats::Stats,
    timing::Timing,
    timing_sample::TimingSample,
    timing_tracker::TimingTracker,
    view::View,
    view_id::ViewId,
};
