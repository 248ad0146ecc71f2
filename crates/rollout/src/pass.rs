//! Decision on one request during a rollout.

/// Decision on whether one request may go to the target version of a rollout.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pass {
    /// Number of the rollout at this daemon; 0 before a decision.
    pub(crate) rollout: u64,
    /// Whether the request may be sent to the target version.
    pub(crate) is_new: bool,
    /// Whether it was sent there.
    pub(crate) is_sent: bool,
    /// Whether the request may be sent to suspended versions that were not found bad, because no other is left.
    pub(crate) may_use_suspended: bool,
}
