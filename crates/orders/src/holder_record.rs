//! Record of the current lease holder of a service.

use base::VmId;
use serde::{Deserialize, Serialize};

/// Value of a service's holder key, which names the daemon that may send orders to the service's engines. The platform
/// removes the key when the lease of that daemon ends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRecord {
    /// Identifier of the lease that the key is bound to.
    pub lease_id: u64,
    /// VM of the daemon that holds the lease.
    pub vm_id: VmId,
}
