//! Views, which order the owners of a journal.

use crate::view_id::ViewId;

/// Period during which one daemon owns a journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct View {
    /// Identifier of the view, with its owner.
    pub id: ViewId,
    /// Number of tokens in the journal when the view began.
    pub first_index: u32,
}
