//! View of a journal.

use crate::view_id::ViewId;

/// Period in which one daemon owns a journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct View {
    /// Identity.
    pub id: ViewId,
    /// Tokens of the journal when the view began.
    pub first_index: u32,
}
