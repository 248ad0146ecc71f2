//! Identifiers of views, which are unique even after concurrent claims.

use base::VmId;

/// Identifier of a view of a journal.
///
/// Two claims at different replicas, neither of which has the view of the other claim, may give their views the same
/// number, and a daemon keeps its name when it restarts. The nonce distinguishes such views.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ViewId {
    /// Number of the view, from 1; it increases with each view of a replica.
    pub number: u32,
    /// Random number that the owner chose for this view.
    pub nonce: u32,
    /// Daemon that may append to the journal in this view.
    pub owner: VmId,
}
