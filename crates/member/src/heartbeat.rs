//! Heartbeats, which detect failed daemons and carry reports about members and text versions.

use crate::{member::Member, version::Version};
use serde::{Deserialize, Serialize};

/// Heartbeat between two daemons. The answer to a heartbeat has the same form.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Report of the sender about itself.
    pub from: Member,
    /// Whether the sender trusts its own view of the membership. A daemon that resumes after a pause doesn't, until it
    /// hears from a trusted daemon or `Options::distrust_timeout_ms` has passed.
    pub is_trusted: bool,
    /// Versions of the texts that the sender holds, in the order of `Topic::ALL`.
    pub versions: [Version; 2],
    /// Reports about members, limited to `Options::max_records_bytes`.
    pub records: Vec<Member>,
    /// Payload of another component of the daemon; the membership doesn't read it.
    pub digest: Box<[u8]>,
}

impl Heartbeat {
    /// Maximum size of the digest in bytes.
    pub const MAX_DIGEST_BYTES: usize = 256;
}
