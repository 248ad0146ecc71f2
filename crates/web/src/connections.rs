//! Open connections of all servers of a daemon, and the account that they share.

use crate::{
    byte_account::ByteAccount,
    connection_account::ConnectionAccount,
    connection_limits::{CONNECTION_BYTES, ConnectionLimits},
    connection_use::{ConnectionUse, Phase},
    eviction::{Need, choose},
    port::Port,
    search_pause::SearchPause,
};
use base::{HashMap, lock};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// Part of the limits that is freed at once, as a divisor. The search for connections to close is not repeated for each
/// new connection then.
const BATCH_DIVISOR: usize = 32;

/// Part of the account that is freed at once for amounts that wait, as a divisor. More may wait than there can be room for,
/// and connections that do not have to be closed for it stay open.
const SHORTAGE_DIVISOR: usize = 4;

/// Time between two searches for connections to close while amounts wait for room. A connection becomes one that may be
/// closed by the time that passes.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of log lines about closed and refused connections a second.
const MAX_LINES_PER_S: u32 = 10;

/// Memory and descriptors of a VM whose limits are not known.
const DEFAULT_VM: (usize, usize) = (512 * 1024 * 1024, 4_096);

/// Open connections of all servers of a daemon.
#[derive(Debug)]
pub struct Connections {
    account: Arc<ConnectionAccount>,
    start: Instant,
    open: Mutex<Open>,
    /// Pause between searches for connections that hold bytes.
    search_pause: SearchPause,
    /// Number of searches for connections that may be closed.
    searches: AtomicU64,
    log: Mutex<LogLimit>,
}

#[derive(Debug, Default)]
struct Open {
    last_id: u64,
    by_id: HashMap<u64, (Arc<Port>, Arc<ConnectionUse>)>,
}

/// Lines in the current second.
#[derive(Debug, Default)]
struct LogLimit {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Connection that counts as open until the value is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    id: u64,
    pub state: Arc<ConnectionUse>,
    connections: Arc<Connections>,
    held_bytes: usize,
}

impl Default for Connections {
    fn default() -> Self {
        let limits = ConnectionLimits::for_vm(DEFAULT_VM.0, DEFAULT_VM.1);
        Self::new(Arc::new(ByteAccount::new(limits.account_bytes)))
    }
}

impl Connections {
    /// Creates a table of connections that share `account` with the requests in flight.
    pub fn new(account: Arc<ByteAccount>) -> Self {
        let account = Arc::new(ConnectionAccount::new(account));
        Self {
            account,
            start: Instant::now(),
            open: Mutex::default(),
            search_pause: SearchPause::default(),
            searches: AtomicU64::new(0),
            log: Mutex::default(),
        }
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        lock(&self.open).by_id.len()
    }

    /// Number of searches for connections that may be closed, each of which looks at all open connections.
    pub fn searches(&self) -> u64 {
        self.searches.load(Ordering::Relaxed)
    }

    /// Registers a new connection from `peer` at a port; `None` if there is no room for it, also after others were
    /// closed.
    pub(crate) fn admit(
        self: &Arc<Self>,
        port: &Arc<Port>,
        peer: SocketAddr,
    ) -> Option<OpenConnection> {
        let is_full = || port.open.load(Ordering::SeqCst) >= port.max_connections;
        if is_full() {
            let batch = (port.max_connections / BATCH_DIVISOR).max(1);
            self.close_some(Need::Connections(batch), Some(port));
        }
        if is_full() || !self.hold_connection() {
            self.log("refused a connection", peer, || "no room".to_owned());
            metrics::counter!("connections_refused_total").increment(1);
            return None;
        }
        let state = Arc::new(ConnectionUse::new(
            peer,
            Arc::clone(&self.account),
            Arc::clone(port),
            self.start,
            CONNECTION_BYTES,
        ));
        port.open.fetch_add(1, Ordering::SeqCst);
        let mut open = lock(&self.open);
        open.last_id += 1;
        let id = open.last_id;
        open.by_id.insert(id, (Arc::clone(port), Arc::clone(&state)));
        metrics::gauge!("connections_open").set(open.by_id.len() as f64);
        drop(open);
        let connections = Arc::clone(self);
        Some(OpenConnection { id, state, connections, held_bytes: CONNECTION_BYTES })
    }

    fn hold_connection(&self) -> bool {
        let hold = || self.account.add(CONNECTION_BYTES);
        hold() || {
            self.make_room(CONNECTION_BYTES);
            hold()
        }
    }

    /// Closes connections that hold at least `bytes`, if there are such. Soon after a search that found none, nothing is
    /// done.
    pub fn make_room(&self, bytes: usize) {
        let batch_bytes = self.account.limit_bytes() / BATCH_DIVISOR;
        self.close_some(Need::Bytes(bytes.max(batch_bytes)), None);
    }

    /// Closes a connection of the port, if there is one that may be closed.
    pub(crate) fn free_descriptor(&self, port: &Arc<Port>) {
        self.close_some(Need::Connections(1), Some(port));
    }

    /// Closes connections as long as amounts find no room in the account.
    pub(crate) async fn follow_shortages(&self) {
        loop {
            self.account.whole().shortage().await;
            loop {
                let bytes = self.account.whole().waiting_bytes();
                if bytes == 0 {
                    break;
                }
                let most_bytes = self.account.whole().limit_bytes() / SHORTAGE_DIVISOR;
                self.make_room(bytes.min(most_bytes));
                tokio::time::sleep(SEARCH_INTERVAL).await;
            }
        }
    }

    fn close_some(&self, need: Need, port: Option<&Arc<Port>>) {
        let now = Instant::now();
        let now_ms = now.saturating_duration_since(self.start).as_millis() as u64;
        let pause = port.map_or(&self.search_pause, |port| &port.search_pause);
        if !pause.is_over(now_ms) {
            return;
        }
        self.searches.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("connection_searches_total").increment(1);
        let mut open = lock(&self.open);
        let is_of_port = |own: &Arc<Port>| port.is_none_or(|port| Arc::ptr_eq(port, own));
        let of_port = open.by_id.iter().filter(|(_, (own, _))| is_of_port(own));
        let candidates = of_port.filter_map(|(&id, (_, state))| state.candidate(id, now, need));
        let closed = choose(candidates.collect(), need);
        if closed.is_empty() {
            pause.begin(now_ms);
        }
        let states = closed.iter().filter_map(|candidate| {
            let (port, state) = open.by_id.remove(&candidate.id)?;
            port.open.fetch_sub(1, Ordering::SeqCst);
            Some((candidate, state))
        });
        let states: Vec<_> = states.collect();
        drop(open);
        for (candidate, state) in states {
            state.evict();
            self.log("closed a connection", state.peer, || {
                format!(
                    "{:?} for {} ms, held_bytes={}",
                    candidate.standing, candidate.age_ms, candidate.held_bytes
                )
            });
            let reason = format!("{:?}", candidate.standing).to_lowercase();
            metrics::counter!("connections_closed_total", "reason" => reason).increment(1);
        }
    }

    /// Records that a connection is closed because its caller has kept the stop of its server waiting.
    pub(crate) fn record_stop(&self, state: &ConnectionUse, waited_ms: u64) {
        self.log("closed a connection at the stop", state.peer, || {
            format!("caller waited for {waited_ms} ms, held_bytes={}", state.held_bytes())
        });
        metrics::counter!("connections_closed_total", "reason" => "stop").increment(1);
    }

    /// Logs what was done with a connection, within the limit on such lines.
    fn log(&self, action: &str, peer: SocketAddr, reason: impl FnOnce() -> String) {
        let second = self.start.elapsed().as_secs();
        let mut limit = lock(&self.log);
        if limit.second != second {
            let left_out = limit.left_out;
            *limit = LogLimit { second, ..LogLimit::default() };
            if left_out > 0 {
                log::warn!("connections: log lines were dropped, left_out={left_out}");
            }
        }
        limit.lines += 1;
        if limit.lines > MAX_LINES_PER_S {
            limit.left_out += 1;
            return;
        }
        drop(limit);
        log::warn!(
            "connections: {action}, peer={peer} reason={} account_bytes={}",
            reason(),
            self.account.whole().held_bytes()
        );
    }

    fn remove(&self, id: u64) {
        let mut open = lock(&self.open);
        if let Some((port, _)) = open.by_id.remove(&id) {
            port.open.fetch_sub(1, Ordering::SeqCst);
        }
        metrics::gauge!("connections_open").set(open.by_id.len() as f64);
    }
}

impl OpenConnection {
    /// Changes what is held for the connection. If there is no room, other connections are closed, and this one too if it
    /// is among those that hold most and read least. Returns whether there is room.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let has_room = self.state.resize(self.held_bytes, bytes) || {
            self.connections.make_room(bytes - self.held_bytes);
            self.state.resize(self.held_bytes, bytes)
        };
        if has_room {
            self.held_bytes = bytes;
        }
        has_room
    }

    /// Number of bytes that are held for the connection.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Records that only the rest of what the caller sends is awaited.
    pub fn set_linger(&self) {
        self.state.set_phase(Phase::Linger, Instant::now());
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.remove(self.id);
        self.state.free();
    }
}
