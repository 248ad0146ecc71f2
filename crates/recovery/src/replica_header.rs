//! Beginning of a copy.

use crate::view::View;
use base::AccountName;

/// What a holder needs besides the tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaHeader {
    /// Client account that may read the answer.
    pub account: AccountName,
    /// Pinned request, opaque to holders.
    pub request: Box<[u8]>,
    /// View history; the last view is that of the owner.
    pub views: Vec<View>,
}
