//! Usual gaps, waits and durations of a model, from which timeouts are derived.

/// Usual times of a model, as measured by its timing tracker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// 99th percentile of the gap between two tokens of an attempt.
    pub gap_ms: f64,
    /// 90th percentile of the wait for the first token of an attempt; `None` until enough waits were measured.
    pub first_token_ms: Option<f64>,
    /// 75th percentile of the time from a request to the end of its generation; `None` until enough generations were
    /// measured.
    pub generation_ms: Option<f64>,
}

impl Default for Timing {
    /// Times that are assumed until enough samples were measured.
    fn default() -> Self {
        Self { gap_ms: 41.0, first_token_ms: None, generation_ms: None }
    }
}
