//! Service-level burn: counts and histograms over several windows, burn rates and alert levels.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod alert;
mod counts;
mod digest;
mod distribution;
mod fleet_digest;
mod measure;
mod report;
mod ring;
mod service_digest;
mod service_meter;
mod slot;
mod window;

pub use crate::{
    alert::AlertLevel,
    counts::Counts,
    digest::Digest,
    distribution::Distribution,
    fleet_digest::FleetDigest,
    measure::{MEASURES, Measure},
    report::{BurnReport, ObjectiveKind, ObjectiveReport, ServiceReport, WindowBurn},
    ring::Ring,
    service_digest::ServiceDigest,
    service_meter::ServiceMeter,
    slot::Slot,
    window::{WINDOWS, Window},
};
