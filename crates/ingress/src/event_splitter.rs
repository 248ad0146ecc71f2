//! Splitting of a byte stream into server-sent events.

use crate::event::Event;
use bytes::BytesMut;
use quick_error::quick_error;

/// Largest size of one event, so that an event that never ends does not fill the memory.
const MAX_EVENT_BYTES: usize = 256 * 1024;

quick_error! {
    /// Why a byte stream cannot be split into events.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum SplitError {
        /// The event exceeds the size limit.
        TooLarge {
            display("an event is larger than {} bytes", MAX_EVENT_BYTES)
        }
    }
}

/// Splits a stream of server-sent events at the empty lines, without changes to the bytes of the events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that need not be searched again for the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends bytes from the upstream.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Removes and returns the next complete event; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// `TooLarge` if the buffered event exceeds the size limit.
    pub fn next_event(&mut self) -> Result<Option<Event>, SplitError> {
        let Some(end) = self.find_end() else {
            self.scanned = self.buffer.len().saturating_sub(3);
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(SplitError::TooLarge);
            }
            return Ok(None);
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(Event { id: event_id(&bytes), bytes }))
    }

    /// Number of bytes that are kept until their events are complete, and the size of their buffer.
    pub fn buffered_bytes(&self) -> (usize, usize) {
        (self.buffer.len(), self.buffer.capacity())
    }

    /// Whether the buffer holds the start of an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Position after the empty line that ends the first event; `None` if the buffer holds no complete event.
    fn find_end(&self) -> Option<usize> {
        let bytes = &self.buffer[..];
        (self.scanned..bytes.len()).filter(|&i| bytes[i] == b'\n').find_map(|i| {
            let rest = &bytes[i + 1..];
            if rest.starts_with(b"\n") {
                Some(i + 2)
            } else if rest.starts_with(b"\r\n") {
                Some(i + 3)
            } else {
                None
            }
        })
    }
}

/// Value of the first numeric `id` field of an event; `None` if the event has none.
fn event_id(bytes: &[u8]) -> Option<u64> {
    bytes.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
