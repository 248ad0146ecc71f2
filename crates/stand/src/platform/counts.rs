//! Counts of the platform's calls.

use serde::{Deserialize, Serialize};

/// Calls since the start by kind, answer to `GET /control/counts`. Calls that found the platform down are not among
/// them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformCounts {
    /// Reads of one key.
    pub gets: u64,
    /// Reads of all keys with a prefix.
    pub lists: u64,
    /// Writes of a key, refused ones included.
    pub puts: u64,
    /// Removals of a key, refused ones included.
    pub deletes: u64,
    /// Watches; one that waits counts once.
    pub watches: u64,
    /// Grants, keep-alives and revocations of leases.
    pub leases: u64,
    /// Reads of the list of VMs.
    pub vms: u64,
    /// Weight transfers, refused ones included.
    pub weights: u64,
    /// Answers that were lost after their write had taken effect.
    pub lost_answers: u64,
}
