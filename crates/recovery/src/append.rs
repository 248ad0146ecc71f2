//! Append to a copy of a journal.

use crate::{journal::Journal, replica_header::ReplicaHeader, view_id::ViewId};

/// Tokens that the owner of a journal gives to a holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Append {
    /// Generation.
    pub generation: Box<str>,
    /// View of the owner.
    pub view: ViewId,
    /// Index of the first token; 0 with `install`.
    pub first_index: u32,
    /// Tokens.
    pub tokens: Journal,
    /// Everything else that a new copy needs.
    pub install: Option<ReplicaHeader>,
    /// How the answer ended, opaque to holders.
    pub finish: Option<Box<[u8]>>,
}
