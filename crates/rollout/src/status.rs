//! State of a rollout that is written to the store.

use crate::state::RolloutState;
use affinity::SoftwareVersion;
use base::ServiceName;

/// Item of the store that states how a rollout stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutStatus {
    /// Service of the order.
    pub service: ServiceName,
    /// Target version of the order.
    pub target: SoftwareVersion,
    /// State of the rollout.
    pub state: RolloutState,
}
