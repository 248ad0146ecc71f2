//! What a daemon answers to its peers.

use base::{AccountName, VmId};
use recovery::{Append, AppendStatus, ClaimError, Cursor, Replica};

/// Copy of a journal that a peer has found.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReplicaSummary {
    /// Number of the newest view.
    pub view_number: u32,
    /// Tokens.
    pub token_count: u32,
}

/// Configuration document as bytes, with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigRevision {
    /// Revision.
    pub revision: u64,
    /// Encoded document.
    pub document: Box<[u8]>,
}

/// Answers the calls of peers. The methods run on the thread for peers and must not block.
pub trait PeerService: Send + Sync + 'static {
    /// Takes an append to a journal copy.
    fn append(&self, append: &Append) -> AppendStatus;

    /// Begins a view of `owner` and returns the copy.
    ///
    /// # Errors
    ///
    /// There is no copy that fits the cursor and the account.
    fn claim(
        &self,
        cursor: &Cursor,
        account: &AccountName,
        owner: &VmId,
        nonce: u32,
    ) -> Result<Replica, ClaimError>;

    /// Says what a claim would find.
    ///
    /// # Errors
    ///
    /// There is no copy that fits the cursor and the account.
    fn fetch(&self, cursor: &Cursor, account: &AccountName) -> Result<ReplicaSummary, ClaimError>;

    /// Answers a heartbeat. The bodies belong to membership and are opaque here.
    fn heartbeat(&self, body: &[u8]) -> Vec<u8>;

    /// The configuration, if its revision is greater than `after_revision`.
    fn config(&self, after_revision: u64) -> Option<ConfigRevision>;
}
