//! Service-level objectives: request counts and duration histograms over several windows, burn rates and alert levels.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod alert_level;
mod burn_digest;
mod distribution;
mod duration_kind;
mod fleet_digest;
mod report;
mod request_counts;
mod service_digest;
mod service_meter;
mod slot;
mod window;
mod window_counts;

pub use crate::{
    alert_level::AlertLevel,
    burn_digest::BurnDigest,
    distribution::Distribution,
    duration_kind::{DURATION_KINDS, DurationKind},
    fleet_digest::FleetDigest,
    report::{BurnReport, ObjectiveKind, ObjectiveReport, ServiceReport, WindowBurn},
    request_counts::RequestCounts,
    service_digest::ServiceDigest,
    service_meter::ServiceMeter,
    slot::Slot,
    window::{WINDOWS, Window},
    window_counts::WindowCounts,
};
