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
mod answer;
mod audience;
mod bounds;
mod counts;
mod evidence;
mod fault;
mod finding;
mod instance_set;
mod judge;
mod judges;
mod listed_services;
mod meter;
mod new_request;
mod open_request;
mod order;
mod order_age;
mod order_change;
mod order_log;
mod order_origin;
mod order_revisions;
mod other_versions;
mod own_counts;
mod pass;
mod phase;
mod reply;
mod report;
mod report_schedule;
mod reports;
mod rollout;
mod rollout_start;
mod rollouts;
mod route_counts;
mod route_key;
mod sampler;
mod share_plan;
mod snapshots;
mod state;
mod status;
mod status_write;
mod stored_status;
mod suspended_version;
mod timing;
mod totals;
mod usable_versions;
mod verdict_messages;
mod version_choice;

pub use crate::{
    allocation::{allocate, shift_share},
    bounds::RolloutBounds,
    counts::Counts,
    evidence::{baseline, excludes_bad, log_evidence},
    fault::Fault,
    finding::Finding,
    instance_set::InstanceSet,
    judges::{JUDGES, judge_rank, judges},
    listed_services::ListedServices,
    new_request::NewRequest,
    order::RolloutOrder,
    order_change::OrderChange,
    order_origin::OrderOrigin,
    pass::Pass,
    phase::Phase,
    reply::RolloutReply,
    report::RolloutReport,
    rollouts::Rollouts,
    route_counts::RouteCounts,
    route_key::RouteKey,
    share_plan::SharePlan,
    state::RolloutState,
    status::RolloutStatus,
    status_write::StatusWrite,
    suspended_version::SuspendedVersion,
    totals::Totals,
    usable_versions::UsableVersions,
    version_choice::VersionChoice,
};
