//! Request that an instance has not answered completely yet.

use crate::new_request::NewRequest;

/// Request that an instance has not answered completely yet.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub request: NewRequest,
    pub started_ms: u64,
    /// When the first event arrived; `None` before it.
    pub first_event_ms: Option<u64>,
    /// Number of events so far.
    pub events: u32,
    /// Whether the answer was counted, or is not to be counted.
    pub is_counted: bool,
    /// Whether the answer was counted as slow or failed.
    pub is_bad: bool,
}

impl OpenRequest {
    pub fn new(request: NewRequest, now_ms: u64) -> Self {
        let is_counted = request.is_cold;
        Self {
            request,
            started_ms: now_ms,
            first_event_ms: None,
            events: 0,
            is_counted,
            is_bad: false,
        }
    }
}
