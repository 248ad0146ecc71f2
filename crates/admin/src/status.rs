//! Answer to a question for the status.

use crate::member::Member;
use serde::{Deserialize, Serialize};
use wire::platform::Vm;

/// State of the daemon that was asked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Revision in force at this daemon.
    pub revision: u64,
    /// Number of confirmed plans at that revision.
    pub sequence: u64,
    /// Upstreams that it routes to.
    pub upstreams: Vec<Vm>,
    /// Daemons in the platform's list; none while the platform does not answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<Vec<Member>>,
}
