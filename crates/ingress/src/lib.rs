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
mod byte_account;
mod caller_error;
mod choice;
mod config;
mod connection_pool;
mod core;
mod crash_quarantine;
mod departures;
mod dialect;
mod domain_losses;
mod engine_call;
mod engine_hold;
mod engine_report;
mod event;
mod event_splitter;
mod exchange;
mod fleet_size;
mod follow;
mod gateway;
mod held_bytes;
mod inbound;
mod instance;
mod instance_connection;
mod instance_entry;
mod instance_guards;
mod instance_limits;
mod kv_replica;
mod kv_replicator;
mod peer_message;
mod peer_socket;
mod placement;
mod probe;
mod registry;
mod response_head;
mod retry_permit;
mod route_kind;
mod route_table;
mod short_call;
mod silent_call;
mod stream_queues;
mod stream_relay;
mod stream_schedule;
mod version_affinity;
mod version_recorder;

pub use crate::{
    byte_account::ByteAccount,
    caller_error::CallerError,
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
    held_bytes::HeldBytes,
    instance::Instance,
    instance_entry::{InstanceEntry, InstanceId},
    peer_message::PeerMessage,
    peer_socket::PeerSocket,
    registry::Registry,
    route_kind::RouteKind,
    route_table::{Route, RouteTable},
    version_recorder::record_stream_versions,
};
