//! Entry of the member table.

use crate::member::Member;

/// Entry of the member table: a member with the local state that this daemon keeps about it.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    /// Latest report about the member.
    pub member: Member,
    /// Time of the last change of incarnation or state, in milliseconds. A pause of this daemon restarts it.
    pub since_ms: u64,
    /// Number of messages that are still to carry the last change.
    pub retransmits_left: u32,
}
