//! Members of the fleet and the order of reports about them.

use crate::{incarnation::Incarnation, member_state::MemberState};
use base::{DomainName, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Daemon with its latest known incarnation and state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// VM that the daemon runs on.
    pub id: VmId,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address at which other daemons reach the daemon.
    pub addr: SocketAddr,
    /// Incarnation that `state` belongs to.
    pub incarnation: Incarnation,
    /// State as seen by the daemon that reports it.
    pub state: MemberState,
}

impl Member {
    /// Returns whether this report replaces `other`, which must be a report about the same daemon.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns an upper bound of the encoded size in bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        // Two lengths of 1 byte each, an address of at most 20 bytes, an incarnation of at most 10 and a state of 1.
        self.id.as_str().len() + self.domain.as_str().len() + 33
    }
}
