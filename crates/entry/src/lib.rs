//! HTTP server for callers: routes, authentication, admission control, generations and calls to plain services.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod abandoned_claim;
mod accepted_batch;
mod admission;
mod api_error;
mod authenticate;
mod call_request;
mod call_tasks;
mod claim_store;
mod claimed_journal;
mod config;
mod config_activator;
mod config_actor;
mod digest_hook;
mod engine_poll;
mod entry;
mod entry_error;
mod entry_view;
mod finish;
mod forwarded_headers;
mod gossip;
mod handler;
mod job;
mod job_request;
mod journal_claim;
mod journals;
mod keyed_call;
mod load_actor;
mod member_actor;
mod member_message;
mod meters;
mod models;
mod output;
mod peer_handler;
mod peers;
mod pin_guard;
mod queue_permit;
mod recovery_state;
mod relay;
mod release_gate;
mod render;
mod replica_holder;
mod request_meter;
mod running_attempt;
mod service;
mod service_queue;
mod service_recovery_limiter;
mod serving_actor;
mod serving_versions;
mod shared;
mod stream;
mod upstream_guard;
mod upstream_state;
mod upstreams;
mod usage_digests;
mod version_pins;
mod vm_list_actor;

pub use crate::{
    config::Config, digest_hook::DigestHook, entry::Entry, entry_error::EntryError,
    entry_view::EntryView,
};
