//! Server-sent event of a stream.

use bytes::Bytes;

/// One event, with its bytes as the upstream sent them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Value of the field `id`; `None` if the event has no such field with a number.
    pub id: Option<u64>,
    /// Bytes of the event including the empty line at its end.
    pub bytes: Bytes,
}
