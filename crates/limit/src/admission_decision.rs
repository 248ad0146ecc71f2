//! Answer of a queue to a request.

/// What happens to a request that is offered to a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It runs now.
    Admitted,
    /// It waits until it is admitted or its deadline passes.
    Queued {
        /// Time at which it is rejected unless it was admitted.
        deadline_ms: u64,
    },
    /// It is rejected at once.
    Rejected,
}
