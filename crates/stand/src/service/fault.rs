//! Control message that injects a fault into an instance of the fake plain service.

use serde::{Deserialize, Serialize};

/// Effect of a fault on a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFaultKind {
    /// The request is executed after a delay, even if its connection has been closed in the meantime.
    RunLate,
    /// The request is executed at once, and the response is delayed.
    AnswerLate,
    /// The connection closes without a response, and the request is never executed.
    CloseBeforeRun,
    /// The request is executed, and the connection closes without a response.
    CloseAfterRun,
    /// The process exits before the request is executed.
    DieBeforeRun,
    /// The process exits after the request was executed, without a response.
    DieAfterRun,
    /// The request is executed, and the response has the request id of another request.
    Crossed,
}

/// Fault of the next requests; sent as the body of `PUT /control/fault`. Replaces the fault that was injected before.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceFault {
    /// Effect on each affected request.
    pub kind: ServiceFaultKind,
    /// Number of requests that the fault affects.
    pub count: u32,
    /// Delay in milliseconds of `RunLate` and `AnswerLate`; other kinds ignore it.
    #[serde(default)]
    pub wait_ms: u64,
}
