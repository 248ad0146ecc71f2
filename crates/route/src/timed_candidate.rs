//! Instance as the selection by expected response time sees it.

/// Instance with the response time that this process has learned for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedCandidate {
    /// Learned response time, which is the usual one of the service if the instance has answered no call of this process;
    /// `None` if the service has answered none yet.
    pub response_ms: Option<f64>,
    /// Whether the instance has answered a call of this process.
    pub has_answered: bool,
    /// Number of this process' requests in flight at the instance.
    pub in_flight: u32,
    /// Number of requests that the instance serves concurrently.
    pub slots: u32,
    /// Fraction of its normal load that the instance may receive, from 0 (ejected) to 1.
    pub weight: f64,
    /// Whether the instance is in the failure domain of this process.
    pub is_local: bool,
}
