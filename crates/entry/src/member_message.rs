//! Messages to the membership actor.

use member::Topic;
use std::net::SocketAddr;

/// Message to the membership actor.
#[derive(Clone, Debug)]
pub(crate) enum MemberMessage {
    /// Send the next heartbeats.
    Tick,
    /// Fetch a newer version of a replicated text from a peer.
    Fetch(Topic, SocketAddr),
    /// Notify some peers of a new version.
    Notify,
}
