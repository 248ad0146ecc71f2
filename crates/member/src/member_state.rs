//! State of a member.

use serde::{Deserialize, Serialize};

/// State of a member. Within one incarnation a later state of this order replaces an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// Some daemon got no answer from it. It still counts as live until the suspicion times out.
    Suspect,
    /// It has left or did not refute a suspicion in time.
    Removed,
}
