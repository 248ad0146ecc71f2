//! Encoder of server-sent events.

use bytes::Bytes;

/// Event that ends an OpenAI-style stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// Encodes one event, with an `id` field if `id` is given. `data` must not contain a line break, which compact JSON
/// never does.
pub fn encode(id: Option<&str>, data: &[u8]) -> Bytes {
    let mut event = Vec::with_capacity(data.len() + id.map_or(0, str::len) + 16);
    if let Some(id) = id {
        event.extend_from_slice(b"id: ");
        event.extend_from_slice(id.as_bytes());
        event.push(b'\n');
    }
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event.into()
}
