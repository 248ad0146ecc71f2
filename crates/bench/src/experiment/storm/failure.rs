//! Failure of an engine.

use std::time::Instant;

/// Kind of failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FailureKind {
    /// The process stops without notice and is woken later.
    Freeze,
    /// The process is killed and replaced.
    Kill,
}

/// Failure of an engine.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub kind: FailureKind,
    pub at: Instant,
    /// Generations that the engine was answering.
    pub generation_ids: Vec<String>,
}
