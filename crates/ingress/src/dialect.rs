//! Dialect of a face: names, paths and encodings.

use crate::engine_report::EngineReport;
use hyper::header::HeaderName;
use std::net::SocketAddr;

/// Names of the headers, paths and encodings of what the system says to upstreams and callers.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifier of one try of a caller; upstreams echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will still wait.
    pub time_left_ms: HeaderName,
    /// Key of a client account.
    pub key: HeaderName,
    /// Client account, told to upstreams.
    pub account: HeaderName,
    /// Identifier of the last event that was received.
    pub last_event_id: HeaderName,
    /// Instance that a request is meant for.
    pub expected_instance: HeaderName,
    /// Instance that answered.
    pub instance: HeaderName,
    /// Present if the upstream did not run the request.
    pub not_run: HeaderName,
    /// Proof of the upstream that made the answer.
    pub server_stamp: HeaderName,
    /// Version of the weights that made the answer.
    pub weights_version: HeaderName,
    /// Version of the weights that the request needs.
    pub expected_weights_version: HeaderName,
    /// Engine that takes a copy of the run's memory as it grows.
    pub replica_to: HeaderName,
    /// Copy from which the run goes on.
    pub replica_from: HeaderName,
    /// Headers that only the system may set; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
    /// Path of an engine's report.
    pub report_path: &'static str,
    /// Decodes an engine's report; `None` if it cannot be read.
    pub decode_report: fn(&[u8]) -> Option<EngineReport>,
    /// Path of the order to copy a run's memory to another engine.
    pub snapshot_path: &'static str,
    /// Encodes that order from the request's identifier and the other engine's address.
    pub encode_snapshot_request: fn(&str, SocketAddr) -> Vec<u8>,
    /// Decodes the handle of a copy; `None` if it cannot be read.
    pub decode_snapshot_handle: fn(&[u8]) -> Option<Box<str>>,
    /// Path of the order to drop a copy; its handle follows.
    pub drop_snapshot_path: &'static str,
}
