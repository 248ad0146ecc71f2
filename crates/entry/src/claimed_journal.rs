//! Journal that a reconnecting caller's entry has taken over.

use crate::replica_holder::ReplicaHolder;
use recovery::Replica;

/// Journal that this entry has claimed.
#[derive(Clone, Debug)]
pub(crate) struct ClaimedJournal {
    pub replica: Replica,
    /// Peer where it was claimed; none if it was this entry.
    pub holder: Option<ReplicaHolder>,
}
