//! Record of the current lease holder of a service.

use base::VmId;
use serde::{Deserialize, Serialize};

/// Value of a service's holder key. The platform removes the key when the lease of the holder ends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRecord {
    /// Lease of the holder.
    pub lease_id: u64,
    /// VM of the daemon that holds the lease.
    pub vm_id: VmId,
}
