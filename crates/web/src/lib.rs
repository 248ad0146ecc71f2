//! HTTP/1.1 server and client on top of `hyper`.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod arriving_body;
mod body;
mod body_progress;
mod byte_account;
mod caller_stream;
mod caller_wait;
mod client;
mod client_error;
mod client_stream;
mod connection;
mod connection_account;
mod connection_limits;
mod connection_use;
mod connections;
mod end_to_end_headers;
mod eviction;
mod exchange_state;
mod held_body;
mod held_bytes;
mod in_flight_requests;
mod json_request;
mod linger;
mod port;
mod request_context;
mod search_pause;
mod server;
mod server_limits;
mod socket_buffers;
mod tcp_keepalive;

pub use hyper::{Method, StatusCode};

pub use crate::{
    arriving_body::ArrivingBody,
    body::{AbortedBody, ChannelBody, ReadBodyError, ResponseBody, empty, full, json, read_body},
    byte_account::ByteAccount,
    client::{Client, Reply},
    client_error::ClientError,
    connection::Connection,
    connection_limits::ConnectionLimits,
    connections::Connections,
    end_to_end_headers::end_to_end_headers,
    eviction::{Candidate, Need, Standing, choose},
    held_body::{HeldBodyError, read_held_body},
    held_bytes::HeldBytes,
    json_request::json_request,
    request_context::RequestContext,
    server::{Handler, Server},
    server_limits::ServerLimits,
    tcp_keepalive::enable_tcp_keepalive,
};
