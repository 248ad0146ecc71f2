//! Heartbeat and its answer.

use crate::{member::Member, version::Version};
use serde::{Deserialize, Serialize};

/// Heartbeat and its answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sender.
    pub from: Member,
    /// Whether the sender is trusted. One that woke from a pause is not until it has heard from a live daemon.
    pub is_trusted: bool,
    /// Versions of the texts that the sender holds, in the order of `Topic::ALL`.
    pub versions: [Version; 2],
    /// Reports about members, bounded in size.
    pub records: Vec<Member>,
    /// Opaque bytes of another part of the daemon.
    pub digest: Box<[u8]>,
}

impl Heartbeat {
    /// Most bytes of the opaque digest.
    pub const MAX_DIGEST_BYTES: usize = 256;
}
