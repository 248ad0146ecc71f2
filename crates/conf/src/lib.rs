//! Settings of the daemon, read from TOML and checked.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod admin_settings;
mod entry_settings;
mod limit_settings;
mod log_settings;
mod orders_settings;
mod peer_settings;
mod platform_settings;
mod problem;
mod recovery_settings;
mod route_settings;
mod secret;
mod section;
mod settings;

pub use crate::{
    admin_settings::AdminSettings,
    entry_settings::EntrySettings,
    limit_settings::LimitSettings,
    log_settings::{LogFormat, LogSettings},
    orders_settings::OrdersSettings,
    peer_settings::PeerSettings,
    platform_settings::PlatformSettings,
    problem::{Problem, Problems},
    recovery_settings::{RecoveryPolicy, RecoverySettings},
    route_settings::RouteSettings,
    secret::Secret,
    settings::Settings,
};
