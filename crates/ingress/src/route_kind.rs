//! What may be repeated on a route.

use call::Idempotency;

/// Kind of the requests on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that run at most once.
    NonIdempotent,
    /// Requests that are answered by a stream of events.
    Streaming {
        /// Whether a stream may go on at another upstream after its last event.
        is_resumable: bool,
        /// Longest pause between two events with which an answer is in time.
        gap_target_ms: u64,
    },
}

impl RouteKind {
    /// Whether a request of this kind may be sent to another upstream after it may have run.
    pub fn idempotency(self) -> Idempotency {
        match self {
            Self::Idempotent | Self::Streaming { is_resumable: true, .. } => {
                Idempotency::Idempotent
            }
            Self::NonIdempotent | Self::Streaming { is_resumable: false, .. } => {
                Idempotency::AtMostOnce
            }
        }
    }
}
