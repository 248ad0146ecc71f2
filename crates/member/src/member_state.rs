//! States of members and their order.

use serde::{Deserialize, Serialize};

/// State of a member. Within one incarnation, a state that is listed later replaces one that is listed earlier.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// The member answers heartbeats.
    Alive,
    /// A daemon got no answer to a heartbeat from the member. The member still counts as live until the suspicion times
    /// out.
    Suspect,
    /// The member has shut down, or it didn't refute a suspicion in time.
    Removed,
}
