//! What one connection of a caller holds and waits for, as the other connections see it.

use crate::{
    body_progress::BodyProgress,
    connection_account::ConnectionAccount,
    eviction::{Candidate, Need, Standing},
    port::Port,
};
use futures::task::AtomicWaker;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::Instant;

/// Time without progress after which a connection whose answer waits for its caller may be closed, in milliseconds. It is
/// longer than a round trip to a distant caller.
const MIN_BLOCKED_MS: u64 = 200;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of the headers.
    Headers,
    /// The end of a response. The connection sets no timeout for it, because the handler limits this time.
    Response,
    /// The end of what the caller still sends after the last response.
    Linger,
}

/// State of one connection, which its task writes and which is read when connections must be closed. Nothing takes a
/// lock.
#[derive(Debug)]
pub(crate) struct ConnectionUse {
    pub peer: SocketAddr,
    account: Arc<ConnectionAccount>,
    port: Arc<Port>,
    /// Start of the time that the following fields count from.
    start: Instant,
    held_bytes: AtomicUsize,
    phase: AtomicU8,
    /// Start of the phase.
    phase_start_ms: AtomicU64,
    has_requested: AtomicBool,
    is_blocked: AtomicBool,
    /// Whether the caller sends requests before it has the answers to earlier ones.
    is_pipelined: AtomicBool,
    /// When the kernel last accepted bytes.
    last_write_ms: AtomicU64,
    /// When bytes were last read.
    last_read_ms: AtomicU64,
    body: BodyProgress,
    /// Whether the current request waits for room for its body.
    waits_for_room: AtomicBool,
    is_evicted: AtomicBool,
    /// Waker of the task that serves the connection.
    waker: AtomicWaker,
}

impl ConnectionUse {
    /// Creates the state of a connection for which `held_bytes` of the account are held.
    pub fn new(
        peer: SocketAddr,
        account: Arc<ConnectionAccount>,
        port: Arc<Port>,
        start: Instant,
        held_bytes: usize,
    ) -> Self {
        let now_ms = AtomicU64::new(start.elapsed().as_millis() as u64);
        Self {
            peer,
            account,
            port,
            start,
            held_bytes: AtomicUsize::new(held_bytes),
            phase: AtomicU8::new(Phase::Idle as u8),
            last_write_ms: AtomicU64::new(now_ms.load(Ordering::Relaxed)),
            last_read_ms: AtomicU64::new(now_ms.load(Ordering::Relaxed)),
            phase_start_ms: now_ms,
            body: BodyProgress::default(),
            waits_for_room: AtomicBool::new(false),
            has_requested: AtomicBool::new(false),
            is_blocked: AtomicBool::new(false),
            is_pipelined: AtomicBool::new(false),
            is_evicted: AtomicBool::new(false),
            waker: AtomicWaker::new(),
        }
    }

    /// Records a phase that began at `at`.
    pub fn set_phase(&self, phase: Phase, at: Instant) {
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.phase_start_ms.store(self.since_start_ms(at), Ordering::Relaxed);
        if phase == Phase::Response {
            self.has_requested.store(true, Ordering::Relaxed);
        }
    }

    /// Records whether bytes of a response wait because the caller does not read.
    pub fn set_blocked(&self, is_blocked: bool) {
        self.is_blocked.store(is_blocked, Ordering::Relaxed);
    }

    /// Records whether the caller sends requests before it has the answers to earlier ones.
    pub fn set_pipelined(&self, is_pipelined: bool) {
        self.is_pipelined.store(is_pipelined, Ordering::Relaxed);
    }

    /// Records that the kernel accepted bytes at `at`.
    pub fn record_write(&self, at: Instant) {
        self.last_write_ms.store(self.since_start_ms(at), Ordering::Relaxed);
    }

    /// Records that bytes were read at `at`.
    pub fn record_read(&self, at: Instant) {
        self.last_read_ms.store(self.since_start_ms(at), Ordering::Relaxed);
    }

    /// When bytes were last read.
    pub fn last_read(&self) -> Instant {
        self.start + Duration::from_millis(self.last_read_ms.load(Ordering::Relaxed))
    }

    /// Records whether the current request waits for room for its body.
    pub fn set_waits_for_room(&self, waits_for_room: bool) {
        self.waits_for_room.store(waits_for_room, Ordering::Relaxed);
    }

    /// Records that a body is read from now on, for which `held_bytes` are held and which has to arrive within `wait_ms`.
    pub fn begin_body(&self, held_bytes: usize, wait_ms: u64) {
        self.body.begin(held_bytes, wait_ms, self.since_start_ms(Instant::now()));
    }

    /// Counts bytes of the body.
    pub fn record_body(&self, bytes: usize) {
        self.body.record(bytes);
    }

    /// Records that no body is read any more.
    pub fn end_body(&self) {
        self.body.end();
    }

    /// Is ready unless bytes of a response wait because the caller does not read. The task is not woken by this; it is
    /// woken when the kernel accepts bytes.
    pub fn poll_unblocked(&self) -> Poll<()> {
        match self.is_blocked.load(Ordering::Relaxed) {
            false => Poll::Ready(()),
            true => Poll::Pending,
        }
    }

    /// Number of bytes that are held for the connection.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::SeqCst)
    }

    /// Replaces the held amount, from `old_bytes` to `new_bytes`. Returns `false`, without a change, if there is no room
    /// for a larger amount. Only the task of the connection calls this.
    pub fn resize(&self, old_bytes: usize, new_bytes: usize) -> bool {
        if new_bytes >= old_bytes {
            let more_bytes = new_bytes - old_bytes;
            let has_room = self.account.add(more_bytes);
            if has_room {
                self.held_bytes.fetch_add(more_bytes, Ordering::SeqCst);
            }
            return has_room;
        }
        let less_bytes = old_bytes - new_bytes;
        let update = |held: usize| held.checked_sub(less_bytes);
        // An eviction may have freed the amount.
        if self.held_bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, update).is_ok() {
            self.account.free(less_bytes);
        }
        true
    }

    /// Frees all that is held.
    pub fn free(&self) {
        self.account.free(self.held_bytes.swap(0, Ordering::SeqCst));
    }

    /// Makes the task of the connection close it, and frees what is held, which the task does within moments.
    pub fn evict(&self) {
        self.free();
        self.is_evicted.store(true, Ordering::SeqCst);
        self.waker.wake();
    }

    /// Is ready once the connection must be closed.
    pub fn poll_evicted(&self, cx: &Context<'_>) -> Poll<()> {
        self.waker.register(cx.waker());
        match self.is_evicted.load(Ordering::SeqCst) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }

    /// Whether the connection waits for its caller: for the rest of a head or of a late body, or until the caller reads the
    /// response or closes the connection after it.
    pub fn waits_for_caller(&self) -> bool {
        let phase = self.phase.load(Ordering::Relaxed);
        self.is_blocked.load(Ordering::Relaxed)
            || [Phase::Headers as u8, Phase::Linger as u8].contains(&phase)
            || self.late_body_bytes(Instant::now()).is_some()
    }

    /// Bytes that are held for the body of the current request, if it is late.
    fn late_body_bytes(&self, now: Instant) -> Option<usize> {
        self.body.late_bytes(self.since_start_ms(now), self.port.min_age_ms())
    }

    /// The connection as one that may be closed at `now` for `need`; `None` if it is an ordinary one.
    pub fn candidate(&self, id: u64, now: Instant, need: Need) -> Option<Candidate> {
        let now_ms = self.since_start_ms(now);
        let since = |at: &AtomicU64| now_ms.saturating_sub(at.load(Ordering::Relaxed));
        let phase_ms = since(&self.phase_start_ms);
        let phase = self.phase.load(Ordering::Relaxed);
        let is_old = phase_ms >= self.port.min_age_ms();
        // An answer that exceeds the buffers blocks for moments also if the caller reads all the time.
        let is_stuck = since(&self.last_write_ms) >= MIN_BLOCKED_MS;
        let late_body_bytes = self.late_body_bytes(now);
        // Closing it frees a connection, and hardly any of the bytes that it waits for.
        let is_in_the_way = matches!(need, Need::Connections(_))
            && is_old
            && self.waits_for_room.load(Ordering::Relaxed);
        let standing = if is_stuck && self.is_blocked.load(Ordering::Relaxed) {
            Standing::Blocked
        } else if late_body_bytes.is_some() || is_in_the_way {
            Standing::Unsent
        } else if self.is_pipelined.load(Ordering::Relaxed) {
            Standing::Pipelined
        } else if is_old && [Phase::Headers as u8, Phase::Linger as u8].contains(&phase) {
            Standing::Unfinished
        } else if is_old && !self.has_requested.load(Ordering::Relaxed) {
            Standing::Unused
        } else if phase == Phase::Idle as u8 && phase_ms >= self.port.kept_idle_ms() {
            Standing::Idle
        } else {
            return None;
        };
        let age_ms = match standing {
            Standing::Blocked => since(&self.last_write_ms),
            _ => phase_ms,
        };
        let held_bytes = self.held_bytes() + late_body_bytes.unwrap_or(0);
        Some(Candidate { id, standing, held_bytes, age_ms })
    }

    fn since_start_ms(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_millis() as u64
    }
}
