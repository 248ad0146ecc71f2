//! What the list of VMs says about an engine.

/// Sign that an engine is going away. The list lags, so a sign alone never ends an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmSign {
    /// The engine is listed as leaving.
    Leaving,
    /// The engine is no longer listed.
    Removed,
}
