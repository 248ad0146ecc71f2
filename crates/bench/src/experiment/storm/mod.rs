//! Load on a cluster whose engines fail all the time.

mod failure;
mod load;
mod load_counts;
mod report;
mod runner;
mod settings;
mod work_count;

pub(super) use self::{report::StormReport, runner::run, settings::StormSettings};
