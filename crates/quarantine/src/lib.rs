//! Finds parts of prompts that crash the engines which answer them, from the crashes that all daemons report.
//!
//! The crate does no I/O and reads no clock; callers pass the current time.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod admission;
mod answer_progress;
mod change;
mod crash;
mod crash_record;
mod end_check;
mod evidence;
mod evidence_writer;
mod ledger;
mod part_id;
mod part_names;
mod series;
mod survival;
mod suspect;
mod thresholds;
mod verdict;

pub use crate::{
    admission::Admission,
    answer_progress::{AnswerProgress, Exposure},
    change::Change,
    crash::{Crash, CrashedEngine},
    end_check::{Conclusion, EndCheck, ProcessState},
    evidence::Evidence,
    ledger::Ledger,
    part_id::PartId,
    part_names::PartNames,
    survival::Survival,
    suspect::Suspect,
    verdict::Verdict,
};
