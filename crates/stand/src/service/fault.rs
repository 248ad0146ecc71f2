//! Faults of a plain service.

use serde::{Deserialize, Serialize};

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFaultKind {
    /// It runs late, also if the connection has been closed meanwhile.
    RunLate,
    /// It runs at once and is answered late.
    AnswerLate,
    /// The connection closes, and it does not run.
    CloseBeforeRun,
    /// It runs, and the connection closes without an answer.
    CloseAfterRun,
    /// The process ends before the run.
    DieBeforeRun,
    /// The process ends after the run.
    DieAfterRun,
    /// The answer carries the request id of another request.
    Crossed,
}

/// Body of `PUT /control/fault`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceFault {
    /// What goes wrong.
    pub kind: ServiceFaultKind,
    /// Requests that it happens to.
    pub count: u32,
    /// Delay of the kinds that are late.
    #[serde(default)]
    pub wait_ms: u64,
}
