//! Messages of the membership actor.

use member::Topic;
use std::net::SocketAddr;

/// Message of the membership actor.
#[derive(Clone, Debug)]
pub(crate) enum MemberMessage {
    /// Send the next heartbeats.
    Tick,
    /// Fetch a newer version from a peer.
    Fetch(Topic, SocketAddr),
    /// Tell some peers of a new version.
    Notify,
}
