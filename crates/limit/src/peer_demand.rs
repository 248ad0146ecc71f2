//! What a peer reported.

use base::HashMap;

/// Demand that a peer reported last.
#[derive(Clone, Debug)]
pub(crate) struct PeerDemand {
    pub sequence: u64,
    pub heard_at_ms: u64,
    /// Requests a second by hash of the account's name, with the time of the report.
    pub demands: HashMap<u32, (f32, u64)>,
}
