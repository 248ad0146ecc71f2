//! Timeouts of the connections on which callers send requests, and the memory that they hold.

use crate::{
    connection_limits::{CONNECTION_BYTES, REQUEST_BYTES, SOCKET_BUFFER_BYTES},
    connection_use::Phase,
    connections::OpenConnection,
    in_flight_requests::InFlightRequests,
    linger::Linger,
    server_limits::ServerLimits,
};
use std::{
    future::Future,
    io::{ErrorKind, IoSlice, Result as IoResult},
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

/// Size of the HTTP library's read buffer that is part of the cost of each connection.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Largest number of bytes that are read at once. Otherwise each caller that sends fast makes the read buffer grow to the
/// limit on headers.
const MAX_READ_BYTES: usize = 2 * READ_BUFFER_BYTES;

/// Steps in which the memory of a connection is counted.
const STEP_BYTES: usize = 4 * 1024;

/// Connection of a caller. A read fails with `TimedOut` once the wait for a request, or for the rest of its headers,
/// exceeds the current limit. A change of the limits applies to open connections as well.
///
/// While the caller does not read, nothing more is read from it, and the bytes of the response that wait are held in the
/// account. If there is no room for them, a connection is closed.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    limits: watch::Receiver<ServerLimits>,
    in_flight: InFlightRequests,
    /// `InFlightRequests::total` at the last read.
    seen_requests: usize,
    /// `InFlightRequests::total` when bytes were last read.
    requests_at_data: usize,
    phase: Phase,
    /// Start of the current phase, or of the latest request if that is later.
    phase_start: Instant,
    timer: Pin<Box<Sleep>>,
    /// Whether bytes of a response wait until the kernel accepts them.
    is_write_blocked: bool,
    /// When the kernel last accepted bytes.
    last_write: Instant,
    /// Number of bytes that the kernel has accepted, up to the size of its buffer. How many of them the caller has read is
    /// known to the kernel only, so all of them count as unread.
    written_bytes: usize,
    /// Number of bytes of the response that the kernel has not accepted.
    queued_bytes: usize,
    /// Number of bytes of the current head.
    head_bytes: usize,
    /// Size of the buffer of the last read.
    read_buffer_bytes: usize,
    open: OpenConnection,
    /// Set after the last response, when the direction to the caller has been closed.
    linger: Option<Linger>,
}

impl CallerStream {
    /// Wraps an accepted connection. `in_flight` must count the requests of this connection.
    pub fn new(
        stream: TcpStream,
        open: OpenConnection,
        limits: watch::Receiver<ServerLimits>,
        in_flight: InFlightRequests,
    ) -> Self {
        let phase_start = Instant::now();
        let timer = Box::pin(sleep_until(phase_start));
        Self {
            stream,
            limits,
            in_flight,
            seen_requests: 0,
            requests_at_data: 0,
            phase: Phase::Idle,
            phase_start,
            timer,
            is_write_blocked: false,
            last_write: phase_start,
            written_bytes: 0,
            queued_bytes: 0,
            head_bytes: 0,
            read_buffer_bytes: 0,
            open,
            linger: None,
        }
    }

    /// Holds what the connection uses in the account. Returns `false` if there is no room for it.
    fn update_held(&mut self) -> bool {
        let read_bytes = self.read_buffer_bytes.max(self.head_bytes);
        let blocked_bytes = match self.is_write_blocked {
            // The buffers of responses grow by doubling.
            true => 2 * self.queued_bytes,
            false => 0,
        };
        let request_bytes = match self.phase {
            Phase::Response => REQUEST_BYTES,
            _ => 0,
        };
        let more_bytes = request_bytes
            + read_bytes.saturating_sub(READ_BUFFER_BYTES)
            + self.written_bytes
            + blocked_bytes;
        let held_bytes = CONNECTION_BYTES + more_bytes.next_multiple_of(STEP_BYTES);
        held_bytes == self.open.held_bytes() || self.open.try_resize(held_bytes)
    }

    /// Reads into the buffer, or into a part of it if it has grown.
    fn poll_read_part(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        self.read_buffer_bytes = buf.remaining();
        if buf.remaining() <= MAX_READ_BYTES {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(MAX_READ_BYTES));
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let size = part.filled().len();
        buf.advance(size);
        read
    }

    /// Updates the phase after a read. `has_data` says whether the read returned data.
    fn update_phase(&mut self, has_data: bool, cx: &Context<'_>) {
        let total = self.in_flight.total();
        // A request may have arrived and been answered since the last read.
        let has_new_request = total != self.seen_requests;
        self.seen_requests = total;
        if has_data {
            // More than one request has come out of the bytes that were read before.
            self.open.state.set_pipelined(total > self.requests_at_data + 1);
            self.requests_at_data = total;
            self.open.state.record_read(Instant::now());
        }
        let phase = match (self.in_flight.poll_idle(cx).is_ready(), self.phase) {
            (false, _) => Phase::Response,
            (true, Phase::Headers) if !has_new_request => Phase::Headers,
            (true, _) if has_data => Phase::Headers,
            (true, _) => Phase::Idle,
        };
        if phase != self.phase || has_new_request {
            self.phase = phase;
            self.phase_start = Instant::now();
            self.head_bytes = 0;
            if has_new_request {
                self.open.state.set_phase(Phase::Response, self.phase_start);
            }
            self.open.state.set_phase(phase, self.phase_start);
        }
    }

    /// Is ready if the current phase has exceeded its timeout. Otherwise, the task is woken at the end of the timeout.
    /// The phase `Response` has none.
    fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let limits = *self.limits.borrow();
            let (start, wait_ms) = match self.phase {
                Phase::Response | Phase::Linger => return Poll::Pending,
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

    /// Records whether the kernel has accepted some of `size` bytes.
    ///
    /// # Errors
    ///
    /// `ConnectionAborted` if the caller does not read and there is no room for what waits for it.
    fn record_write(
        &mut self,
        size: usize,
        write: Poll<IoResult<usize>>,
        cx: &Context<'_>,
    ) -> Poll<IoResult<usize>> {
        let was_blocked = self.is_write_blocked;
        self.is_write_blocked = write.is_pending();
        if was_blocked && write.is_ready() {
            // The next read sets the timer for the phase that follows, and a request that waits is handled.
            cx.waker().wake_by_ref();
        }
        if was_blocked != self.is_write_blocked {
            self.open.state.set_blocked(self.is_write_blocked);
        }
        if let Poll::Ready(Ok(written)) = write {
            self.last_write = Instant::now();
            self.open.state.record_write(self.last_write);
            if !was_blocked && self.written_bytes == SOCKET_BUFFER_BYTES {
                return write;
            }
            self.written_bytes = (self.written_bytes + written).min(SOCKET_BUFFER_BYTES);
        }
        self.queued_bytes = size;
        if !self.update_held() && self.is_write_blocked {
            return Poll::Ready(Err(ErrorKind::ConnectionAborted.into()));
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
        let (before, phase) = (buf.filled().len(), self.phase);
        let read = match self.is_write_blocked {
            true => Poll::Pending,
            false => self.poll_read_part(cx, buf),
        };
        let size = buf.filled().len() - before;
        self.update_phase(size > 0, cx);
        if self.phase == Phase::Headers {
            self.head_bytes += size;
        }
        if size > 0 || self.phase != phase {
            // Without room, what is read is not held: it is limited, and the connection may be an ordinary one.
            self.update_held();
        }
        if read.is_pending() && self.poll_expired(cx).is_ready() {
            if self.phase == Phase::Headers {
                log::info!(
                    "web: the caller at {} did not send complete headers in time",
                    self.open.state.peer
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
        self.record_write(buf.len(), write, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<IoResult<usize>> {
        let write = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        let size = match write {
            Poll::Pending => bufs.iter().map(|buf| buf.len()).sum(),
            Poll::Ready(_) => 0,
        };
        self.record_write(size, write, cx)
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
        if this.linger.is_none() {
            this.open.set_linger();
        }
        let linger = this.linger.get_or_insert_with(Linger::start);
        linger.poll_end(&mut this.stream, cx).map(Ok)
    }
}
