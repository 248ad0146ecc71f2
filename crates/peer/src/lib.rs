//! RPC between daemons over `capnp-rpc`: journal replication, claims, heartbeats and configuration.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod connection;
mod counting_stream;
mod decode;
mod encode;
mod link;
mod link_call;
mod peer_error;
mod peer_handle;
mod peer_node;
mod peer_options;
mod peer_service;
mod server;

/// Generated from `schema/peer.capnp` by `capnp compile` with `capnpc` 0.27.
#[allow(clippy::all, clippy::if_not_else, elided_lifetimes_in_paths, unused)]
mod peer_capnp;

pub use crate::{
    peer_error::PeerError,
    peer_handle::PeerHandle,
    peer_node::PeerNode,
    peer_options::PeerOptions,
    peer_service::{ConfigRevision, PeerService, ReplicaSummary},
};
