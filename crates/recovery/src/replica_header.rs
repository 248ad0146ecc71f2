//! Header of a journal replica.

use crate::view::View;
use base::AccountName;

/// Everything that a replica contains besides the tokens and the end of the answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaHeader {
    /// Client account that may read the answer.
    pub account: AccountName,
    /// Request with its pinned model version, in a form that is opaque to holders.
    pub request: Box<[u8]>,
    /// View history; the last view is the current one.
    pub views: Vec<View>,
}
