//! Demand of client accounts at other entries.

use base::HashMap;

/// Demand of a peer entry, from its recent digests.
#[derive(Clone, Debug)]
pub(crate) struct PeerDemand {
    /// Sequence number of the last digest.
    pub sequence: u64,
    /// Time at which the last digest was received.
    pub received_at_ms: u64,
    /// Requests per second by the hash of the account's name, with the time at which the rate was received.
    pub demands: HashMap<u32, (f32, u64)>,
}
