//! Administration API: operators plan and confirm changes of the configuration and read the status, the history and
//! the burn report.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod admin_error;
mod admin_server;
mod confirmed;
mod daemon;
mod diff_report;
mod error_body;
mod fleet_burn;
mod handler;
mod history;
mod member;
mod new_key;
mod plan_created;
mod plan_request;
mod plan_slot;
mod planner;
mod status;
mod watch_report;

pub use crate::{
    admin_error::AdminError,
    admin_server::AdminServer,
    confirmed::Confirmed,
    daemon::Daemon,
    diff_report::DiffReport,
    error_body::{AdminErrorBody, AdminErrorDetail},
    history::History,
    member::Member,
    new_key::NewKey,
    plan_created::PlanCreated,
    plan_request::PlanRequest,
    planner::Planner,
    status::Status,
    watch_report::WatchReport,
};
