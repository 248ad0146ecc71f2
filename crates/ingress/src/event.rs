//! Event of a stream.

use bytes::Bytes;

/// One event as the upstream sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Identifier; none if the event has no numeric one.
    pub id: Option<u64>,
    /// All bytes, with the empty line at the end.
    pub bytes: Bytes,
}
