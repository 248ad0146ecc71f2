//! Fleet configuration document: what operators define.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod account;
mod call_rules;
mod document;
mod document_error;
mod model;
mod service;

pub use crate::{
    account::Account,
    call_rules::CallRules,
    document::Document,
    document_error::DocumentError,
    model::Model,
    service::{Preset, Service, ServiceKind},
};
