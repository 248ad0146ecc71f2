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

impl Event {
    /// Whether the event only holds comments or is empty, as engines may send to keep a connection open. A stalled
    /// engine can send comments as well, so they do not show that it works.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|&byte| byte == b'\n' || byte == b'\r');
        lines.all(|line| line.is_empty() || line.starts_with(b":"))
    }
}
