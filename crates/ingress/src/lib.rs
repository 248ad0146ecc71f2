//! Serves routed requests: choice of upstream instances, attempts, retries and recovery of streams.
//!
//! Header names, paths and encodings are passed in as a [`Dialect`], so that the crate does not depend on one platform.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod attempt;
mod attempt_error;
mod buffered_response;
mod caller_error;
mod caller_stall;
mod cancel_reason;
mod choice;
mod cold_instances;
mod config;
mod config_share;
mod connection_pool;
mod core;
mod crash_check;
mod crash_quarantine;
mod departures;
mod dialect;
mod domain_losses;
mod engine_call;
mod engine_hold;
mod engine_report;
mod engine_timing;
mod event;
mod event_splitter;
mod exchange;
mod fleet_size;
mod follow;
mod gateway;
mod inbound;
mod instance;
mod instance_connection;
mod instance_entry;
mod instance_guards;
mod instance_limits;
mod instance_rates;
mod kv_replica;
mod kv_replicator;
mod observation;
mod peer_message;
mod peer_socket;
mod placement;
mod probe;
mod registry;
mod response_head;
mod restarts;
mod retry_permit;
mod rollout_control;
mod rollout_items;
mod rollout_recorder;
mod room_wait;
mod route_kind;
mod route_table;
mod run_copies;
mod service_rates;
mod shared_rates;
mod short_call;
mod silent_call;
mod stream_failure;
mod stream_queues;
mod stream_relay;
mod stream_schedule;
mod take_up;
mod version_affinity;
mod version_recorder;
mod version_rule;

pub use crate::{
    caller_error::CallerError,
    cold_instances::ColdInstances,
    config::{ClientAccount, ClientLimits, Config, EngineConfig, ServiceConfig},
    core::{Core, CoreOptions},
    crash_quarantine::ServiceEvidence,
    departures::{Departures, Standing},
    dialect::Dialect,
    domain_losses::DomainLosses,
    engine_report::{EngineReport, EngineRun},
    event::Event,
    event_splitter::{EventSplitter, SplitError},
    fleet_size::FleetSize,
    follow::{Decoders, PlatformKeys, follow_platform},
    gateway::{Gateway, ReadyProbe},
    instance::Instance,
    instance_entry::{InstanceEntry, InstanceId},
    instance_rates::InstanceRates,
    peer_message::{ConfigPart, PeerMessage},
    peer_socket::PeerSocket,
    registry::Registry,
    restarts::{Restart, find_restarts},
    rollout_control::RolloutControl,
    rollout_items::RolloutDecoders,
    rollout_recorder::record_rollouts,
    route_kind::RouteKind,
    route_table::{Route, RouteTable},
    shared_rates::{SharedRates, SharedTime},
    version_recorder::record_stream_versions,
};
