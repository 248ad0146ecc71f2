//! Faults of the fake plain service.

use serde::{Deserialize, Serialize};

/// Kind of a fault that hits a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFaultKind {
    /// The request runs after a delay, even if its connection has been closed in the meantime.
    RunLate,
    /// The request runs at once, and the response is delayed.
    AnswerLate,
    /// The connection closes before the request runs; the request never runs.
    CloseBeforeRun,
    /// The request runs, and the connection closes without a response.
    CloseAfterRun,
    /// The process exits before the request runs.
    DieBeforeRun,
    /// The process exits after the request has run, without a response.
    DieAfterRun,
    /// The response has the request id of another request.
    Crossed,
}

/// Body of `PUT /control/fault`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceFault {
    /// Kind of the fault.
    pub kind: ServiceFaultKind,
    /// Number of requests that the fault hits.
    pub count: u32,
    /// Delay in milliseconds of `RunLate` and `AnswerLate`.
    #[serde(default)]
    pub wait_ms: u64,
}
