//! Reads and discards what a caller still sends after the last response on its connection.

use std::{
    future::Future,
    mem::MaybeUninit,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep_until},
};

/// Longest time for which a connection is read after its last response, in milliseconds. It is as long as a handler
/// waits for the body of a request.
const MAX_LINGER_MS: u64 = 10_000;

/// Longest wait for the next bytes, in milliseconds. A caller that still sends a body pauses for less.
const MAX_PAUSE_MS: u64 = 2_000;

/// Largest number of bytes that are discarded. The rest of a body that is larger is not worth its reading.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;

/// Size of the buffer for the discarded bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Discards the bytes that arrive between the last response and the end of a connection. If a socket is closed while
/// received bytes are unread, the kernel sends a reset, by which the caller may lose the response.
#[derive(Debug)]
pub(crate) struct Linger {
    end: Instant,
    discarded_bytes: usize,
    /// Elapses when the caller has paused for too long, and at `end`.
    timer: Pin<Box<Sleep>>,
}

impl Linger {
    /// Starts to discard bytes.
    pub fn start() -> Self {
        let now = Instant::now();
        let timer = Box::pin(sleep_until(now + Duration::from_millis(MAX_PAUSE_MS)));
        Self { end: now + Duration::from_millis(MAX_LINGER_MS), discarded_bytes: 0, timer }
    }

    /// Discards the bytes that have arrived. Is ready once the connection can be closed: the caller has closed it, or
    /// a limit is reached.
    pub fn poll_end(&mut self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [MaybeUninit::uninit(); BUFFER_BYTES];
        loop {
            let mut buffer = ReadBuf::uninit(&mut space);
            match Pin::new(&mut *stream).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.discarded_bytes += buffer.filled().len();
                    if self.discarded_bytes > MAX_DISCARDED_BYTES || Instant::now() >= self.end {
                        return Poll::Ready(());
                    }
                    let pause_end = Instant::now() + Duration::from_millis(MAX_PAUSE_MS);
                    self.timer.as_mut().reset(pause_end.min(self.end));
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return self.timer.as_mut().poll(cx),
            }
        }
    }
}
