//! Present holder of a service's orders.

use base::VmId;
use serde::{Deserialize, Serialize};

/// Value of the key that the lease of a service's holder removes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRecord {
    /// Lease of the holder.
    pub lease_id: u64,
    /// Daemon that holds it.
    pub vm_id: VmId,
}
