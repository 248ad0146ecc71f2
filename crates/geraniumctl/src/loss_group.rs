//! Failed and late requests that have the time and the cause in common.

use serde::Serialize;

/// Failed and late requests of one window with the same cause.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LossGroup {
    /// Start of the window, in milliseconds after the first line of the logs.
    pub window_ms: u64,
    pub cause: &'static str,
    /// Requests that got no complete answer.
    pub failed: usize,
    /// Requests that got a complete answer late.
    pub late: usize,
    /// Failure domain or VM that most of the requests have in common, and their number.
    pub largest: (String, usize),
    /// Identifiers of some of the requests, for `explain`.
    pub ids: Vec<String>,
}
