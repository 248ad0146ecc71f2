//! Decides how much of a service's traffic a new software version gets during an operator's rollout, and whether the
//! version is kept.
//!
//! The crate does no I/O and reads no clock; callers pass the current time and random numbers.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod allocation;
mod bounds;
mod counts;
mod evidence;
mod finding;
mod instance_set;
mod judges;
mod meter;
mod open_request;
mod order;
mod pass;
mod phase;
mod reply;
mod report;
mod rollout;
mod rollouts;
mod route_counts;
mod route_key;
mod status;
mod status_write;
mod totals;
mod version_choice;

pub use crate::{
    allocation::{allocate, shift_share},
    bounds::RolloutBounds,
    counts::Counts,
    evidence::{baseline, excludes_bad, log_evidence},
    finding::{Fault, Finding},
    instance_set::InstanceSet,
    judges::{JUDGES, judge_rank, judges},
    open_request::NewRequest,
    order::RolloutOrder,
    pass::Pass,
    phase::Phase,
    reply::RolloutReply,
    report::RolloutReport,
    rollouts::{OrderChange, Rollouts},
    route_counts::RouteCounts,
    route_key::RouteKey,
    status::{RolloutState, RolloutStatus},
    status_write::StatusWrite,
    totals::Totals,
    version_choice::{UsableVersions, VersionChoice},
};
