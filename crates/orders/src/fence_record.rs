//! Record of the highest fencing token of a service.

use serde::{Deserialize, Serialize};

/// Value of a service's fence, a key that isn't bound to a lease. A candidate writes its fencing token there before it
/// becomes the holder, so that a candidate with an older lease cannot succeed a holder with a newer one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceRecord {
    /// Fencing token of the latest holder.
    pub fencing_token: u64,
    /// Identifier of the lease of the latest holder.
    pub lease_id: u64,
}
