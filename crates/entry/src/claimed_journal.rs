//! Result of claiming the journal of a generation.

use crate::replica_holder::ReplicaHolder;
use recovery::Replica;

/// Journal that this entry has claimed for a caller that reconnected.
#[derive(Clone, Debug)]
pub(crate) struct ClaimedJournal {
    pub replica: Replica,
    /// Peer at which the journal was claimed and which holds the replica; `None` if it was claimed at this entry.
    pub holder: Option<ReplicaHolder>,
}
