//! Leases of the key-value service.

use serde::{Deserialize, Serialize};

/// Body of `POST /leases`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// Time after the last keep-alive at which the lease ends.
    pub ttl_ms: u64,
}

/// Answer to `POST /leases` and to a keep-alive.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseGranted {
    /// Identifier of the lease; never used again.
    pub lease_id: u64,
    /// Fencing token; larger than that of every lease granted before.
    pub fencing_token: u64,
    /// Time after this answer was decided at which the lease ends.
    pub ttl_ms: u64,
}
