//! TCP connection of a client.

use crate::exchange_state::ExchangeState;
use std::{
    io::{Error, ErrorKind, IoSlice, Result as IoResult},
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// TCP connection whose reads fail once they exceed the limit of the `ExchangeState`, and which is reset if it is dropped
/// while a request awaits its response.
///
/// The kernel goes on sending what was written to a connection that is closed in the ordinary way, so a request that
/// could not be delivered during a partition would run after it. A reset discards these bytes. Once a response has begun,
/// the server has the request, and the ordinary close cancels it more reliably: the kernel repeats it until it is
/// acknowledged, and sends a reset only once.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    exchange: ExchangeState,
}

impl ClientStream {
    pub fn new(stream: TcpStream, exchange: ExchangeState) -> Self {
        Self { stream, exchange }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        if self.exchange.awaits_response() {
            // If the option cannot be set, the connection is closed in the ordinary way.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        match self.exchange.count(buf.filled().len() - before) {
            true => Poll::Ready(Ok(())),
            false => Poll::Ready(Err(Error::new(
                ErrorKind::InvalidData,
                "too many bytes without a part of the response",
            ))),
        }
    }
}

impl AsyncWrite for ClientStream {
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
        bufs: &[IoSlice<'_>],
    ) -> Poll<IoResult<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
