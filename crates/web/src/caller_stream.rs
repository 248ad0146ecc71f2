//! Connection of a caller, with bounds on the waits for its next request.

use crate::{in_flight::InFlight, server_limits::ServerLimits};
use std::{
    future::Future,
    io::{ErrorKind, IoSlice, Result as IoResult},
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::watch,
    time::{Instant, Sleep, sleep_until},
};

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of the headers.
    Headers,
    /// The end of an answer. The handler bounds this wait.
    Answer,
}

/// Connection of a caller. A read fails once the wait for a request, or for the rest of its headers, exceeds the limit
/// that is in force at that time.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    peer: SocketAddr,
    limits: watch::Receiver<ServerLimits>,
    in_flight: InFlight,
    /// Requests that were seen in flight.
    seen: usize,
    phase: Phase,
    since: Instant,
    timer: Pin<Box<Sleep>>,
}

impl CallerStream {
    /// Wraps an accepted connection. `in_flight` counts its requests.
    pub fn new(
        stream: TcpStream,
        peer: SocketAddr,
        limits: watch::Receiver<ServerLimits>,
        in_flight: InFlight,
    ) -> Self {
        let since = Instant::now();
        let timer = Box::pin(sleep_until(since));
        Self { stream, peer, limits, in_flight, seen: 0, phase: Phase::Idle, since, timer }
    }

    /// Follows what the connection waits for, after a read that returned `has_data`.
    fn advance(&mut self, has_data: bool, cx: &Context<'_>) {
        let total = self.in_flight.total();
        // A request may have come and been answered since the last read.
        let is_other = total != self.seen;
        self.seen = total;
        let phase = match (self.in_flight.poll_empty(cx).is_ready(), self.phase) {
            (false, _) => Phase::Answer,
            (true, Phase::Headers) if !is_other => Phase::Headers,
            (true, _) if has_data => Phase::Headers,
            (true, _) => Phase::Idle,
        };
        if phase != self.phase || is_other {
            self.phase = phase;
            self.since = Instant::now();
        }
    }

    /// Whether the wait of the phase has exceeded its limit. Otherwise, the task is woken at that time.
    fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let limits = *self.limits.borrow();
            let wait_ms = match self.phase {
                Phase::Answer => return Poll::Pending,
                Phase::Headers => limits.headers_timeout_ms,
                Phase::Idle => limits.idle_timeout_ms,
            };
            let deadline = self.since + Duration::from_millis(wait_ms);
            if self.timer.deadline() == deadline && self.timer.is_elapsed() {
                return Poll::Ready(());
            }
            if self.timer.deadline() != deadline {
                self.timer.as_mut().reset(deadline);
            }
            // The limits may have changed since the timer was set, so an elapsed timer is compared with them once more.
            if self.timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.advance(buf.filled().len() > before, cx);
        if read.is_pending() && self.poll_expired(cx).is_ready() {
            if self.phase == Phase::Headers {
                log::info!("web: {} did not send whole headers in time", self.peer);
            }
            return Poll::Ready(Err(ErrorKind::TimedOut.into()));
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<IoResult<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
