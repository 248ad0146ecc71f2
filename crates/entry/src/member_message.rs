//! Message type of the actor that sends heartbeats.

use member::Topic;
use std::net::SocketAddr;

/// Message to `MemberActor`, from itself or from `Gossip`.
#[derive(Clone, Debug)]
pub(crate) enum MemberMessage {
    /// Send the next round of heartbeats.
    Tick,
    /// Fetch a newer version of a replicated text from the peer at this address.
    Fetch(Topic, SocketAddr),
    /// Announce a new version of a replicated text to some peers.
    Notify,
}
