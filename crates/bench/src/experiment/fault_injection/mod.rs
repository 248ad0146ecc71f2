//! Load on a cluster into whose engines failures are injected continually.

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
