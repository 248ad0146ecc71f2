//! Load on a cluster whose engines fail all the time.

mod failure;
mod kind_report;
mod load;
mod load_counts;
mod report;
mod runner;
mod settings;
mod work_count;

pub use self::failure::FailureKind;
pub(super) use self::{
    report::StormReport, runner::run, settings::StormSettings, work_count::WorkCount,
};
