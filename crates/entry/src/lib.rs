//! HTTP server towards callers: authentication, routes, generations and calls to plain services.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod api_error;
mod authenticate;
mod config;
mod config_actor;
mod entry;
mod entry_error;
mod handler;
mod job;
mod job_request;
mod models;
mod output;
mod recovery_state;
mod relay;
mod render;
mod running;
mod service;
mod service_pacer;
mod shared;
mod upstream_guard;
mod upstreams;
mod vm_list_actor;

pub use crate::{config::Config, entry::Entry, entry_error::EntryError};
