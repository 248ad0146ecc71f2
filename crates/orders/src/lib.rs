//! Orders to engines: election of one holder for each service by lease, reconciliation of the engines with the
//! configuration, and rollout of versions.
//!
//! The holder of a service is the daemon that holds the service's lease at the deployment platform. Only the holder
//! sends orders to the service's engines. Each lease has a higher fencing token than the leases before it, and each
//! order carries the token, so that engines can reject the late orders of a previous holder.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod engine_command;
mod engine_view;
mod fence_record;
mod holder_record;
mod lease;
mod lease_driver;
mod lease_input;
mod lease_step;
mod lease_timing;
mod load_pacing;
mod order_rules;
mod orders_actor;
mod orders_options;
mod orders_view;
mod reconciler;
mod roles;
mod service_orders;
mod serving_record;
mod versions;

pub use crate::{
    engine_command::EngineCommand,
    fence_record::FenceRecord,
    holder_record::HolderRecord,
    lease::Lease,
    lease_input::LeaseInput,
    lease_step::LeaseStep,
    lease_timing::LeaseTiming,
    load_pacing::LoadPacing,
    order_rules::OrderRules,
    orders_actor::{OrdersActor, OrdersArguments},
    orders_options::OrdersOptions,
    orders_view::{OrdersView, PinnedVersions},
    reconciler::Reconciler,
    serving_record::{SERVING_PREFIX, ServingRecord, serving_key},
};
