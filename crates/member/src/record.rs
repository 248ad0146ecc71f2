//! Member with what this daemon notes about it.

use crate::member::Member;

/// Member with what this daemon notes about it.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub member: Member,
    /// Time of the last change of incarnation or state.
    pub since_ms: u64,
    /// Messages that still carry the last change.
    pub rumors_left: u32,
}
