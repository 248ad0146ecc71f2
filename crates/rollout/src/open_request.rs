//! Request that an instance has not answered completely yet.

use crate::{counts::Counts, route_key::RouteKey};
use affinity::SoftwareVersion;
use base::ServiceName;
use std::sync::Arc;

/// Request that is sent to an instance.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Service of the request.
    pub service: ServiceName,
    /// Route of the request.
    pub route: RouteKey,
    /// Version of the instance.
    pub version: SoftwareVersion,
    /// Identifier of the instance.
    pub instance: Arc<str>,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Whether a stream goes on after earlier events, so that the time to its first event is not comparable.
    pub is_resumed: bool,
    /// Time in which the answer or the first event should arrive.
    pub target_latency_ms: u64,
}

/// Request that an instance has not answered completely yet.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub request: NewRequest,
    pub started_ms: u64,
    /// When the first event arrived; `None` before it.
    pub first_event_ms: Option<u64>,
    /// Number of events so far.
    pub events: u32,
    /// Whether the answer was counted.
    pub is_counted: bool,
    /// Whether the answer was counted as slow or failed.
    pub is_bad: bool,
}

impl OpenRequest {
    pub fn new(request: NewRequest, now_ms: u64) -> Self {
        Self {
            request,
            started_ms: now_ms,
            first_event_ms: None,
            events: 0,
            is_counted: false,
            is_bad: false,
        }
    }
}

/// One answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    Good,
    Failed,
    Slow,
    /// An answer that was counted as good turned out to be slow.
    BecameSlow,
}

impl Answer {
    pub fn is_bad(self) -> bool {
        self != Self::Good
    }

    pub fn add_to(self, counts: &mut Counts) {
        counts.answers += u32::from(self != Self::BecameSlow);
        counts.failures += u32::from(self == Self::Failed);
        counts.slow += u32::from(matches!(self, Self::BecameSlow | Self::Slow));
    }
}
