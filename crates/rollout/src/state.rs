//! State of a rollout in the store.

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
