//! Limit on the bytes that a client connection reads without receiving a response head or a part of a body.

use std::{
    io::{Error, ErrorKind, Result as IoResult},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Largest number of bytes up to the end of a response head, or up to the next part of a body. The HTTP library limits
/// each head, but skips any number of interim responses and of leading zeros in the size of a chunk.
const MAX_FRAMING_BYTES: usize = 64 * 1024;

/// Number of bytes that may still be read before the next progress of the response.
#[derive(Clone, Debug)]
pub(crate) struct FramingLimit(Arc<AtomicUsize>);

impl FramingLimit {
    pub fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_FRAMING_BYTES)))
    }

    /// Starts to count anew, because a request is sent or the response has made progress.
    pub fn start(&self) {
        self.0.store(MAX_FRAMING_BYTES, Ordering::Relaxed);
    }

    /// Stops counting, because the reader of the body limits its size.
    pub fn stop(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts bytes, and returns whether they are within the limit.
    fn count(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
        left >= bytes
    }
}

/// TCP connection whose reads fail once they exceed a `FramingLimit`.
#[derive(Debug)]
pub(crate) struct FramingLimitedStream {
    stream: TcpStream,
    limit: FramingLimit,
}

impl FramingLimitedStream {
    pub fn new(stream: TcpStream, limit: FramingLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for FramingLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        match self.limit.count(buf.filled().len() - before) {
            true => Poll::Ready(Ok(())),
            false => Poll::Ready(Err(Error::new(
                ErrorKind::InvalidData,
                "too many bytes without a part of the response",
            ))),
        }
    }
}

impl AsyncWrite for FramingLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<IoResult<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<IoResult<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
