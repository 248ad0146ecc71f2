//! Metrics of the bytes that RPC connections receive and send.

use futures::io::{AsyncRead, AsyncWrite};
use metrics::Counter;
use std::{
    io::Result as IoResult,
    pin::Pin,
    task::{Context, Poll},
};

/// Stream wrapper that counts bytes in the metrics `peer_received_bytes_total` and `peer_sent_bytes_total`.
pub(crate) struct CountingStream<S> {
    stream: S,
    received: Counter,
    sent: Counter,
}

impl<S> CountingStream<S> {
    pub fn new(stream: S) -> Self {
        let received = metrics::counter!("peer_received_bytes_total");
        let sent = metrics::counter!("peer_sent_bytes_total");
        Self { stream, received, sent }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<IoResult<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(size_bytes)) = outcome {
            self.received.increment(size_bytes as u64);
        }
        outcome
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<IoResult<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(size_bytes)) = outcome {
            self.sent.increment(size_bytes as u64);
        }
        outcome
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
