//! State of a rollout that is written to the store.

use affinity::SoftwareVersion;
use base::ServiceName;

/// State of a rollout, from which the platform starts and stops instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutState {
    /// The target version is being evaluated or is getting more traffic.
    Running,
    /// All traffic goes to the target version.
    Completed,
    /// No traffic goes to the target version.
    RolledBack,
}

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
