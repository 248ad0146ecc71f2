//! Names, paths and encodings of a platform's HTTP interface.

use crate::engine_report::EngineReport;
use hyper::header::HeaderName;
use std::net::SocketAddr;

/// Header names, paths and encodings of the messages between callers, this system and upstreams.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifier of one attempt of a caller; upstreams echo it.
    pub request_id: HeaderName,
    /// Time for which the sender of the request still waits for the response, in milliseconds.
    pub time_left_ms: HeaderName,
    /// Key by which a caller authenticates as a client account.
    pub key: HeaderName,
    /// Name of the client account, sent to upstreams.
    pub account: HeaderName,
    /// Identifier of the last event that the sender of the request has received; the stream resumes after it.
    pub last_event_id: HeaderName,
    /// Identifier of the caller's attempt that brought the first event of the stream which the request resumes.
    pub resumed_request_id: HeaderName,
    /// Identifier of the instance that the request is meant for.
    pub expected_instance: HeaderName,
    /// Identifier of the instance that responded.
    pub instance: HeaderName,
    /// Present in a response if the upstream did not run the request and never will.
    pub not_run: HeaderName,
    /// Proof that an upstream created the response; required in successful ones.
    pub server_stamp: HeaderName,
    /// Version of the model weights with which the response was generated.
    pub weights_version: HeaderName,
    /// Version of the model weights that the request requires.
    pub expected_weights_version: HeaderName,
    /// Address of the engine to which the request's KV cache is replicated continuously.
    pub replica_to: HeaderName,
    /// Reference to the KV cache replica from which the engine resumes the request.
    pub replica_from: HeaderName,
    /// Limit in requests per second that an upstream names for all requests that it gets.
    pub upstream_limit: HeaderName,
    /// States in a response, with the value 1, that the instance leaves and takes no more requests.
    pub leaving: HeaderName,
    /// Name of the model that the request is for.
    pub model: HeaderName,
    /// Numbers of tokens of the prompt and, at most, of the answer.
    pub token_counts: HeaderName,
    /// Decodes the numbers of tokens of the prompt and, at most, of the answer; `None` if the value is malformed.
    pub decode_token_counts: fn(&str) -> Option<(u64, u64)>,
    /// Parts of the request's prompt, in order.
    pub prompt_parts: HeaderName,
    /// Decodes the identifiers of the parts from the value of `prompt_parts`; empty if the value is malformed.
    pub decode_prompt_parts: fn(&str) -> Vec<Box<str>>,
    /// Further headers that callers may not set; they are removed from requests.
    pub reserved: Vec<HeaderName>,
    /// Path of an engine's load report.
    pub report_path: &'static str,
    /// Decodes an engine's load report; `None` if the report is malformed.
    pub decode_report: fn(&[u8]) -> Option<EngineReport>,
    /// Path of the call that makes an engine copy a snapshot of a running request's KV cache to another engine.
    pub snapshot_path: &'static str,
    /// Encodes the body of the call at `snapshot_path` from the identifier of the running request and the address of
    /// the engine that gets the snapshot.
    pub encode_snapshot_request: fn(&str, SocketAddr) -> Vec<u8>,
    /// Decodes the handle of a snapshot from the response to that call; `None` if the response is malformed.
    pub decode_snapshot_handle: fn(&[u8]) -> Option<Box<str>>,
    /// Path of the call that deletes a snapshot, without the handle at its end.
    pub drop_snapshot_path: &'static str,
}
