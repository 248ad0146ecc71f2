//! Identity of a view.

use base::VmId;

/// Identity of a view of a journal.
///
/// Two claims that do not know of each other may give their views the same number, and a daemon that restarts keeps its
/// name. The nonce tells such views apart.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ViewId {
    /// Number, from 1; grows with each view of one copy.
    pub number: u32,
    /// Random number that the owner chose for this view.
    pub nonce: u32,
    /// Daemon that may append.
    pub owner: VmId,
}
