//! Kind of a route: how its requests are answered, and whether they may be retried.

use call::Idempotency;

/// Kind of the requests on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Calls that may run more than once.
    Idempotent,
    /// Calls that may run at most once.
    NonIdempotent,
    /// Requests that are answered by a stream of events.
    Streaming {
        /// Whether a broken stream may resume at another upstream after the last event.
        is_resumable: bool,
        /// Longest pause between two events of a stream that is in time.
        gap_target_ms: u64,
    },
}

impl RouteKind {
    /// Whether a request of this kind may be sent again after it may have run.
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
