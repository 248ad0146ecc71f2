//! Puts load on a cluster, injects failures into its engines at regular intervals, and measures how streams resume.

mod engine_work;
mod failure;
mod kind_report;
mod load;
mod load_progress;
mod report;
mod runner;
mod settings;

pub use self::failure::FailureKind;
pub(super) use self::{
    engine_work::EngineWork, report::FaultInjectionReport, runner::run,
    settings::FaultInjectionSettings,
};
