//! Message that appends tokens to the replica of a journal.

use crate::{journal::Journal, replica_header::ReplicaHeader, view_id::ViewId};

/// Tokens that the owner of a journal (the daemon that streams the answer) sends to a replica holder (the daemon that
/// keeps the replica).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Append {
    /// Identifier of the generation whose journal is replicated.
    pub generation: Box<str>,
    /// View in which the owner sends the tokens.
    pub view: ViewId,
    /// Index of the first token; 0 if `install` is set.
    pub first_index: u32,
    /// Tokens from `first_index` on.
    pub tokens: Journal,
    /// Header of a replica that the holder must create or replace. `None` if the tokens are appended to the replica
    /// that the holder already has.
    pub install: Option<ReplicaHeader>,
    /// How the answer ended, in a form that is opaque to holders; `None` while the generation runs.
    pub finish: Option<Box<[u8]>>,
}
