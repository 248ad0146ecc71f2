//! Interface through which a daemon answers the calls of its peers.

use base::{AccountName, VmId};
use recovery::{Append, AppendStatus, ClaimError, Cursor, Replica};

/// Summary of a journal replica that a peer holds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReplicaSummary {
    /// Number of the newest view, or 0 if the replica has no view.
    pub view_number: u32,
    /// Number of tokens that the replica contains.
    pub token_count: u32,
}

/// Encoded configuration document with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigRevision {
    /// Revision of the document. A newer document has a greater one.
    pub revision: u64,
    /// Document in the encoding of the configuration, which this crate does not interpret.
    pub document: Box<[u8]>,
}

/// Answers the calls of peers. The methods run on the peer thread and must not block.
pub trait PeerService: Send + Sync + 'static {
    /// Applies an append to a journal replica.
    fn append(&self, append: &Append) -> AppendStatus;

    /// Begins a new view of the generation, which `owner` owns, and returns the journal replica.
    ///
    /// # Errors
    ///
    /// No replica matches the cursor and the account.
    fn claim(
        &self,
        cursor: &Cursor,
        account: &AccountName,
        owner: &VmId,
        nonce: u32,
    ) -> Result<Replica, ClaimError>;

    /// Returns a summary of the replica that a claim would find, without claiming it.
    ///
    /// # Errors
    ///
    /// No replica matches the cursor and the account.
    fn fetch(&self, cursor: &Cursor, account: &AccountName) -> Result<ReplicaSummary, ClaimError>;

    /// Returns the body of the answer to a heartbeat with this body. The membership protocol defines both bodies; this
    /// crate does not interpret them.
    fn heartbeat(&self, body: &[u8]) -> Vec<u8>;

    /// Returns this daemon's configuration, or `None` if its revision is not greater than `after_revision`.
    fn config(&self, after_revision: u64) -> Option<ConfigRevision>;
}
