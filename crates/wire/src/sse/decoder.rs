//! Incremental decoder of server-sent events with bounded memory.

use quick_error::quick_error;

quick_error! {
    /// Why a byte stream is not a valid event stream.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum DecoderError {
        /// An event is larger than the limit.
        TooLarge(limit_bytes: usize) {
            display("an event is larger than {limit_bytes} bytes")
        }
        /// An event is not UTF-8.
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

/// Decoder that is fed with chunks and yields whole events.
#[derive(Debug)]
pub struct Decoder {
    buffer: Vec<u8>,
    start: usize,
    scanned: usize,
    limit_bytes: usize,
}

impl Decoder {
    /// Decoder that refuses an event of more than `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self { buffer: Vec::new(), start: 0, scanned: 0, limit_bytes }
    }

    /// Adds a chunk of the stream.
    ///
    /// # Errors
    ///
    /// `TooLarge` if the unfinished event passes the limit.
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

    /// The next whole event, or `None` if more bytes are needed. Comments and events without data are skipped.
    ///
    /// # Errors
    ///
    /// `TooLarge` or `Encoding`; the decoder must not be used afterwards.
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

    /// Bytes held for an event that is not yet whole.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// Finds the blank line that ends the next event: the end of the event and the start of the one after it.
    fn find_end(&mut self) -> Option<(usize, usize)> {
        let bytes = &self.buffer;
        let mut at = self.scanned.max(self.start);
        while at < bytes.len() {
            if bytes[at] != b'\n' {
                at += 1;
                continue;
            }
            match bytes.get(at + 1) {
                Some(b'\n') => return Some((at, at + 2)),
                Some(b'\r') if bytes.get(at + 2) == Some(&b'\n') => return Some((at, at + 3)),
                None => break,
                Some(b'\r') if bytes.len() == at + 2 => break,
                Some(_) => at += 1,
            }
        }
        self.scanned = at;
        None
    }
}

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
