//! HTTP server towards callers: authentication, routes, generations and calls to plain services.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod admission;
mod api_error;
mod authenticate;
mod config;
mod config_actor;
mod entry;
mod entry_error;
mod handler;
mod job;
mod job_request;
mod load_actor;
mod models;
mod output;
mod permit;
mod poll;
mod relay;
mod render;
mod service;
mod service_queue;
mod shared;
mod upstream_guard;
mod upstream_state;
mod upstreams;
mod vm_list_actor;

pub use crate::{config::Config, entry::Entry, entry_error::EntryError};
