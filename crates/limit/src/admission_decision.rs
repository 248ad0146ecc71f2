//! Result of offering a request to an admission queue.

/// Decision on a request that is offered to an admission queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request may be sent to an upstream now.
    Admitted,
    /// The request waits in the queue until it is admitted or its deadline passes.
    Queued {
        /// Time at which `AdmissionQueue::poll` reports the request as expired unless it was admitted before.
        deadline_ms: u64,
    },
    /// The request is rejected at once.
    Rejected,
}
