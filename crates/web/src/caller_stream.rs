//! Timeouts of the connections on which callers send requests.

use crate::{in_flight_requests::InFlightRequests, linger::Linger, server_limits::ServerLimits};
use std::{
    future::Future,
    io::{ErrorKind, IoSlice, Result as IoResult},
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::watch,
    time::{Instant, Sleep, sleep_until},
};

/// Longest wait until a caller takes more of an answer that is complete at the server, in milliseconds. The kernel
/// accepts more bytes only once a large part of its buffer is free, so this exceeds a usual idle timeout.
const WRITE_TIMEOUT_MS: u64 = 60_000;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of the headers.
    Headers,
    /// The end of a response. The connection sets no timeout for it, because the handler limits this time.
    Response,
}

/// Connection of a caller. A read fails with `TimedOut` once the wait for a request, or for the rest of its headers,
/// exceeds the current limit. A change of the limits applies to open connections as well.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    peer: SocketAddr,
    limits: watch::Receiver<ServerLimits>,
    in_flight: InFlightRequests,
    /// `InFlightRequests::total` at the last read.
    seen_requests: usize,
    phase: Phase,
    /// Start of the current phase, or of the latest request if that is later.
    phase_start: Instant,
    timer: Pin<Box<Sleep>>,
    /// Whether bytes of a response wait until the kernel accepts them.
    is_write_blocked: bool,
    /// When the kernel last accepted bytes.
    last_write: Instant,
    /// Set after the last response, when the direction to the caller has been closed.
    linger: Option<Linger>,
}

impl CallerStream {
    /// Wraps an accepted connection from `peer`. `in_flight` must count the requests of this connection.
    pub fn new(
        stream: TcpStream,
        peer: SocketAddr,
        limits: watch::Receiver<ServerLimits>,
        in_flight: InFlightRequests,
    ) -> Self {
        let phase_start = Instant::now();
        let timer = Box::pin(sleep_until(phase_start));
        Self {
            stream,
            peer,
            limits,
            in_flight,
            seen_requests: 0,
            phase: Phase::Idle,
            phase_start,
            timer,
            is_write_blocked: false,
            last_write: phase_start,
            linger: None,
        }
    }

    /// Updates the phase after a read. `has_data` says whether the read returned data.
    fn update_phase(&mut self, has_data: bool, cx: &Context<'_>) {
        let total = self.in_flight.total();
        // A request may have arrived and been answered since the last read.
        let has_new_request = total != self.seen_requests;
        self.seen_requests = total;
        let phase = match (self.in_flight.poll_idle(cx).is_ready(), self.phase) {
            (false, _) => Phase::Response,
            (true, Phase::Headers) if !has_new_request => Phase::Headers,
            (true, _) if has_data => Phase::Headers,
            (true, _) => Phase::Idle,
        };
        if phase != self.phase || has_new_request {
            self.phase = phase;
            self.phase_start = Instant::now();
        }
    }

    /// Is ready if the current phase has exceeded its timeout. Otherwise, the task is woken at the end of the timeout.
    /// The phase `Response` has none.
    fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let limits = *self.limits.borrow();
            let (start, wait_ms) = match self.phase {
                Phase::Response => return Poll::Pending,
                _ if self.is_write_blocked => (self.last_write, WRITE_TIMEOUT_MS),
                Phase::Headers => (self.phase_start, limits.headers_timeout_ms),
                Phase::Idle => (self.phase_start.max(self.last_write), limits.idle_timeout_ms),
            };
            let deadline = start + Duration::from_millis(wait_ms);
            if self.timer.deadline() == deadline && self.timer.is_elapsed() {
                return Poll::Ready(());
            }
            if self.timer.deadline() != deadline {
                self.timer.as_mut().reset(deadline);
            }
            // The limits may have changed since the timer was set, so the loop computes the deadline again after the
            // timer has elapsed.
            if self.timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    /// Records whether the kernel has accepted bytes.
    fn record_write(
        &mut self,
        write: Poll<IoResult<usize>>,
        cx: &Context<'_>,
    ) -> Poll<IoResult<usize>> {
        if self.is_write_blocked && write.is_ready() {
            // The next read sets the timer for the phase that follows.
            cx.waker().wake_by_ref();
        }
        self.is_write_blocked = write.is_pending();
        if let Poll::Ready(Ok(_)) = write {
            self.last_write = Instant::now();
        }
        write
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
        self.update_phase(buf.filled().len() > before, cx);
        if read.is_pending() && self.poll_expired(cx).is_ready() {
            if self.phase == Phase::Headers {
                log::info!(
                    "web: the caller at {} did not send complete headers in time",
                    self.peer
                );
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
        let write = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(write, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<IoResult<usize>> {
        let write = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(write, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Closes the direction to the caller, and discards what the caller still sends before the connection is closed.
    ///
    /// A request that arrives on a connection which was closed while idle is not read: the reset shows its caller that
    /// it has not run.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            if this.in_flight.is_closed_idle() {
                return Poll::Ready(Ok(()));
            }
        }
        let linger = this.linger.get_or_insert_with(Linger::start);
        linger.poll_end(&mut this.stream, cx).map(Ok)
    }
}
