//! Highest fencing token of a service.

use serde::{Deserialize, Serialize};

/// Value of the key that outlives all leases of a service. A candidate raises it before it becomes holder, so that a
/// candidate with an older lease cannot follow one with a newer lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceRecord {
    /// Fencing token of the latest holder.
    pub fencing_token: u64,
    /// Lease of the latest holder.
    pub lease_id: u64,
}
