//! HTTP server towards callers: authentication, routes, generations and calls to plain services.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod abandoned_claim;
mod api_error;
mod authenticate;
mod call_request;
mod call_tasks;
mod claim_store;
mod config;
mod config_actor;
mod entry;
mod entry_error;
mod handler;
mod job;
mod job_request;
mod keyed_call;
mod models;
mod output;
mod pass_headers;
mod relay;
mod render;
mod retry_budgets;
mod service;
mod shared;
mod upstream_guard;
mod upstreams;
mod vm_list_actor;

pub use crate::{config::Config, entry::Entry, entry_error::EntryError};
