//! TCP stream that applies the faults of its connection.

use crate::net::connection::Connection;
use std::{
    io::{IoSlice, Result as IoResult},
    pin::Pin,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Stream that discards writes while its connection is silent, and closes with a TCP reset instead of a normal close if
/// the connection must be reset.
#[derive(Debug)]
pub(super) struct FaultyStream {
    stream: TcpStream,
    connection: Connection,
}

impl FaultyStream {
    pub fn new(stream: TcpStream, connection: Connection) -> Self {
        Self { stream, connection }
    }
}

impl Drop for FaultyStream {
    fn drop(&mut self) {
        if self.connection.is_reset() {
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<IoResult<usize>> {
        if self.connection.is_silent() {
            return Poll::Ready(Ok(data.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<IoResult<usize>> {
        if self.connection.is_silent() {
            return Poll::Ready(Ok(parts.iter().map(|part| part.len()).sum()));
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
