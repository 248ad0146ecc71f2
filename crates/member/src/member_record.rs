//! Records of the member table.

use crate::member::Member;

/// Record of the member table: a member with the local state that this daemon keeps about the member.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    /// Latest report about the member.
    pub member: Member,
    /// Time of the last change of incarnation or state, in milliseconds. After a pause of this daemon, time at which
    /// the daemon resumed.
    pub since_ms: u64,
    /// Number of messages that are still to carry the last change.
    pub retransmits_left: u32,
}
