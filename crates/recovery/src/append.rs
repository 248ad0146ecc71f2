//! Message that appends tokens to the replica of a journal.

use crate::{journal::Journal, replica_header::ReplicaHeader, view_id::ViewId};

/// Tokens that the owner of a journal sends to a replica holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Append {
    /// Identifier of the generation.
    pub generation: Box<str>,
    /// Current view of the owner.
    pub view: ViewId,
    /// Index of the first token; 0 if `install` is set.
    pub first_index: u32,
    /// Tokens from `first_index` on.
    pub tokens: Journal,
    /// Header of a replica that the holder must create or replace; none if it appends to the replica that it has.
    pub install: Option<ReplicaHeader>,
    /// How the answer ended, in a form that is opaque to holders; none while the generation runs.
    pub finish: Option<Box<[u8]>>,
}
