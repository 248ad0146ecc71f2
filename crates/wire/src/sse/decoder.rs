//! Incremental decoder of server-sent events with bounded memory.

use quick_error::quick_error;

quick_error! {
    /// Why a byte stream is not a valid event stream.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum DecoderError {
        /// An event, complete or not, is larger than the decoder's limit.
        TooLarge(limit_bytes: usize) {
            display("an event is larger than {limit_bytes} bytes")
        }
        /// The bytes of an event are not valid UTF-8.
        Encoding {
            display("an event is not UTF-8")
        }
    }
}

/// One server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// Value of the `id` field, if there was one.
    pub id: Option<String>,
    /// Values of the `data` fields, joined by line breaks.
    pub data: String,
}

/// Incremental decoder that takes a stream in chunks and returns complete events.
#[derive(Debug)]
pub struct Decoder {
    buffer: Vec<u8>,
    /// Offset in `buffer` at which the next event starts.
    start: usize,
    /// Offset in `buffer` at which the search for the end of the next event continues. No event ends between `start`
    /// and this offset.
    scanned: usize,
    limit_bytes: usize,
}

impl Decoder {
    /// Creates a decoder that rejects events of more than `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self { buffer: Vec::new(), start: 0, scanned: 0, limit_bytes }
    }

    /// Adds a chunk of the stream.
    ///
    /// # Errors
    ///
    /// `TooLarge` if the buffer contains no complete event and exceeds the limit.
    pub fn feed(&mut self, chunk: &[u8]) -> Result<(), DecoderError> {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.scanned -= self.start;
            self.start = 0;
        }
        self.buffer.extend_from_slice(chunk);
        let has_end = self.find_end().is_some();
        if !has_end && self.buffer.len() > self.limit_bytes {
            return Err(DecoderError::TooLarge(self.limit_bytes));
        }
        Ok(())
    }

    /// Returns the next complete event, or `None` if more bytes are needed. Skips comments and events without data.
    ///
    /// # Errors
    ///
    /// `TooLarge` or `Encoding`, after which the decoder must not be used.
    pub fn next_event(&mut self) -> Result<Option<Event>, DecoderError> {
        while let Some((end, next)) = self.find_end() {
            let start = self.start;
            if end - start > self.limit_bytes {
                return Err(DecoderError::TooLarge(self.limit_bytes));
            }
            self.start = next;
            self.scanned = next;
            let text = std::str::from_utf8(&self.buffer[start..end])
                .map_err(|_| DecoderError::Encoding)?;
            if let Some(event) = parse_event(text) {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    /// Returns the number of buffered bytes that are not decoded yet.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// Finds the blank line after the next event. Returns the offset at which the event's text ends and the offset
    /// after the blank line, or `None` if the blank line has not been received completely.
    fn find_end(&mut self) -> Option<(usize, usize)> {
        let bytes = &self.buffer;
        let mut position = self.scanned.max(self.start);
        while position < bytes.len() {
            if bytes[position] != b'\n' {
                position += 1;
                continue;
            }
            match bytes.get(position + 1) {
                Some(b'\n') => return Some((position, position + 2)),
                Some(b'\r') if bytes.get(position + 2) == Some(&b'\n') => {
                    return Some((position, position + 3));
                }
                None => break,
                Some(b'\r') if bytes.len() == position + 2 => break,
                Some(_) => position += 1,
            }
        }
        self.scanned = position;
        None
    }
}

/// Parses the lines of one event. Returns `None` if there is no `data` field among them.
fn parse_event(text: &str) -> Option<Event> {
    let mut event = Event::default();
    let mut has_data = false;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => {
                if has_data {
                    event.data.push('\n');
                }
                event.data.push_str(value);
                has_data = true;
            }
            "id" => event.id = Some(value.to_owned()),
            _ => {}
        }
    }
    has_data.then_some(event)
}
