//! Write of a status that is due.

use crate::status::RolloutStatus;

/// Write of a rollout's status by compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusWrite {
    /// Status to be written.
    pub status: RolloutStatus,
    /// Revision of the item that is replaced; 0 if there is none.
    pub expected_revision: u64,
    /// Number of the rollout at this daemon.
    pub(crate) rollout: u64,
}
