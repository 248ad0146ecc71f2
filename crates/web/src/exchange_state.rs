//! State of the exchange on a client connection, shared with its socket.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

/// Largest number of bytes up to the end of a response head, or up to the next part of a body. The HTTP library limits
/// each head, but skips any number of interim responses and of leading zeros in the size of a chunk.
const MAX_FRAMING_BYTES: usize = 64 * 1024;

/// What has been read of the response on a connection.
#[derive(Clone, Debug)]
pub(crate) struct ExchangeState(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    /// Number of bytes that may still be read before the next progress of the response.
    framing_bytes_left: AtomicUsize,
    /// Whether a request was sent and no byte of its response has arrived.
    awaits_response: AtomicBool,
}

impl ExchangeState {
    pub fn new() -> Self {
        Self(Arc::new(Shared {
            framing_bytes_left: AtomicUsize::new(MAX_FRAMING_BYTES),
            awaits_response: AtomicBool::new(false),
        }))
    }

    /// Records that a request is sent.
    pub fn begin(&self) {
        self.limit_framing();
        self.0.awaits_response.store(true, Ordering::Relaxed);
    }

    /// Starts to count anew, because the response has made progress.
    pub fn limit_framing(&self) {
        self.0.framing_bytes_left.store(MAX_FRAMING_BYTES, Ordering::Relaxed);
    }

    /// Stops counting, because the reader of the body limits its size.
    pub fn unlimit_framing(&self) {
        self.0.framing_bytes_left.store(usize::MAX, Ordering::Relaxed);
    }

    /// Records that bytes were read, and returns whether they are within the limit.
    pub fn count(&self, bytes: usize) -> bool {
        if bytes > 0 {
            self.0.awaits_response.store(false, Ordering::Relaxed);
        }
        let left = self.0.framing_bytes_left.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.0.framing_bytes_left.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
        left >= bytes
    }

    /// Whether a request was sent and no byte of its response has arrived.
    pub fn awaits_response(&self) -> bool {
        self.0.awaits_response.load(Ordering::Relaxed)
    }
}
