//! Limits on what a bad software version may cost.

/// Limits on what a bad software version may cost, from the settings of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// Largest part of a service's requests that a bad version may get during a rollout, from 0 to 1.
    pub exposure_share: f64,
    /// Number of requests that a bad version may get beyond the share.
    pub exposure_slack: f64,
    /// Time after the fiftieth bad answer from which a bad version may get no request any more.
    pub rollback_ms: u64,
}
