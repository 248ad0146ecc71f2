//! Counts the calls to the platform by kind.

use serde::{Deserialize, Serialize};

/// Numbers of calls by kind since the start of the platform, sent as the response to `GET /control/counts`. Calls while
/// the platform is down are not counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformCounts {
    /// Reads of a single key.
    pub gets: u64,
    /// Reads of all keys with a prefix.
    pub lists: u64,
    /// Writes of a key, including rejected ones.
    pub puts: u64,
    /// Removals of a key, including rejected ones.
    pub deletes: u64,
    /// Watch calls; a long poll counts once.
    pub watches: u64,
    /// Lease grants, keep-alives and revocations.
    pub leases: u64,
    /// Reads of the list of VMs.
    pub vms: u64,
    /// Weight transfers, including refused ones.
    pub weights: u64,
    /// Writes that took effect and whose response was lost because of an injected fault.
    pub lost_answers: u64,
}
