//! Names of the replicated texts.

use serde::{Deserialize, Serialize};

/// Text that is replicated to every daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Topic {
    /// Configuration document of the fleet.
    Config,
    /// The platform's list of VMs.
    Vms,
}

impl Topic {
    /// All topics, in the order of `Heartbeat::versions`.
    pub const ALL: [Self; 2] = [Self::Config, Self::Vms];
}
