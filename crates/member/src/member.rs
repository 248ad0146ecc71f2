//! Daemon as the membership knows it.

use crate::{incarnation::Incarnation, member_state::MemberState};
use base::{DomainName, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Daemon with its newest known incarnation and state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Identifier of the VM.
    pub id: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for other daemons.
    pub addr: SocketAddr,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// State.
    pub state: MemberState,
}

impl Member {
    /// Whether this report replaces `other` about the same daemon.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Upper bound of the encoded size.
    pub(crate) fn size_bytes(&self) -> usize {
        // Lengths of 1 byte each, address of at most 20, incarnation of at most 10, state of 1.
        self.id.as_str().len() + self.domain.as_str().len() + 33
    }
}
