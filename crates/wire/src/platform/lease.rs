//! Messages that create leases of the platform's key-value store and keep them alive.

use serde::{Deserialize, Serialize};

/// Body of `POST /leases`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// Time to live of the lease after its last keep-alive, in milliseconds.
    pub ttl_ms: u64,
}

/// Response to `POST /leases` and to a keep-alive.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseGranted {
    /// Identifier of the lease, which is never reused.
    pub lease_id: u64,
    /// Fencing token, which is larger than that of every lease granted before.
    pub fencing_token: u64,
    /// Time to live of the lease, in milliseconds, counted from the moment at which the platform granted or
    /// extended it.
    pub ttl_ms: u64,
}
