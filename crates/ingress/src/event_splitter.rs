//! Splits a byte stream into events.

use crate::event::Event;
use bytes::BytesMut;
use quick_error::quick_error;

/// Largest event.
const EVENT_SIZE_BYTES: usize = 256 * 1024;

quick_error! {
    /// Why bytes are not a stream of events.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum SplitError {
        /// An event is larger than the limit.
        TooLarge {
            display("an event is larger than {} bytes", EVENT_SIZE_BYTES)
        }
    }
}

/// Splits server-sent events at their empty lines and keeps their bytes as they are.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes of the upstream.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// The next whole event.
    ///
    /// # Errors
    ///
    /// `TooLarge` if the buffered event exceeds the limit.
    pub fn next_event(&mut self) -> Result<Option<Event>, SplitError> {
        let Some(end) = self.find_end() else {
            self.scanned = self.buffer.len().saturating_sub(3);
            if self.buffer.len() > EVENT_SIZE_BYTES {
                return Err(SplitError::TooLarge);
            }
            return Ok(None);
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(Event { id: event_id(&bytes), bytes }))
    }

    /// Whether an event has begun that is not whole.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

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

fn event_id(bytes: &[u8]) -> Option<u64> {
    bytes.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
