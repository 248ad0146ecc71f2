//! Names, paths and encodings of a platform's HTTP interface.

use crate::engine_report::EngineReport;
use hyper::header::HeaderName;
use std::net::SocketAddr;

/// Header names, paths and encodings of the messages between callers, this system and upstreams.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifier of one attempt of a caller; upstreams echo it.
    pub request_id: HeaderName,
    /// Time for which the sender still waits, in milliseconds.
    pub time_left_ms: HeaderName,
    /// Key by which a caller authenticates as a client account.
    pub key: HeaderName,
    /// Name of the client account, sent to upstreams.
    pub account: HeaderName,
    /// Identifier of the last event that the sender has received.
    pub last_event_id: HeaderName,
    /// Identifier of the instance that the request is meant for.
    pub expected_instance: HeaderName,
    /// Identifier of the instance that responded.
    pub instance: HeaderName,
    /// Present in a response if the upstream did not run the request and never will.
    pub not_run: HeaderName,
    /// Proof that an upstream created the response; required in successful ones.
    pub server_stamp: HeaderName,
    /// Version of the model weights that created the response.
    pub weights_version: HeaderName,
    /// Version of the model weights that the request requires.
    pub expected_weights_version: HeaderName,
    /// Address of the engine to which the run's KV cache is replicated continuously.
    pub replica_to: HeaderName,
    /// Reference to the KV cache replica from which the run resumes.
    pub replica_from: HeaderName,
    /// Further headers that callers may not set; they are removed from requests.
    pub reserved: Vec<HeaderName>,
    /// Path of an engine's report.
    pub report_path: &'static str,
    /// Decodes an engine's report; `None` if it is malformed.
    pub decode_report: fn(&[u8]) -> Option<EngineReport>,
    /// Path of the request to copy a snapshot of a run's KV cache to another engine.
    pub snapshot_path: &'static str,
    /// Encodes that request from the identifier of the run's request and the address of the other engine.
    pub encode_snapshot_request: fn(&str, SocketAddr) -> Vec<u8>,
    /// Decodes the handle of a snapshot; `None` if it is malformed.
    pub decode_snapshot_handle: fn(&[u8]) -> Option<Box<str>>,
    /// Path of the request to delete a snapshot; the handle is appended.
    pub drop_snapshot_path: &'static str,
}
