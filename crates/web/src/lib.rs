//! HTTP/1.1 server and client on top of `hyper`.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod body;
mod caller_stream;
mod client;
mod client_error;
mod client_stream;
mod connection;
mod end_to_end_headers;
mod exchange_state;
mod in_flight_requests;
mod json_request;
mod linger;
mod server;
mod server_limits;
mod tcp_keepalive;

pub use hyper::{Method, StatusCode};

pub use crate::{
    body::{AbortedBody, ChannelBody, ReadBodyError, ResponseBody, empty, full, json, read_body},
    client::{Client, Reply},
    client_error::ClientError,
    connection::Connection,
    end_to_end_headers::end_to_end_headers,
    json_request::json_request,
    server::{Handler, Server},
    server_limits::ServerLimits,
    tcp_keepalive::enable_tcp_keepalive,
};
