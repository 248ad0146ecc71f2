//! Settings of the daemon: TOML in, checked values out.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod entry_settings;
mod limit_settings;
mod log_settings;
mod platform_settings;
mod problem;
mod route_settings;
mod section;
mod settings;

pub use crate::{
    entry_settings::EntrySettings,
    limit_settings::LimitSettings,
    log_settings::{LogFormat, LogSettings},
    platform_settings::PlatformSettings,
    problem::{Problem, Problems},
    route_settings::RouteSettings,
    settings::Settings,
};
