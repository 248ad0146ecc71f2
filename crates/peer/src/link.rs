//! Link to one peer, which keeps a connection open and sends appends in batches.

use crate::{
    connection::Connection,
    decode, encode,
    link_call::{AppendCall, LinkCall},
    peer_capnp::peer,
    peer_error::PeerError,
    peer_options::PeerOptions,
    peer_service::{ConfigRevision, ReplicaSummary},
};
use base::{AccountName, VmId};
use recovery::{AppendStatus, ClaimError, Cursor, Replica};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    sync::{Mutex, mpsc},
    task::{JoinHandle, spawn_local},
    time::{Instant, timeout},
};

/// Maximum number of attempts of one call: the first on the current connection, the second on a new one.
const MAX_ATTEMPTS: usize = 2;

/// Largest number of appends in one call. It keeps a message well below the limit of 64 MiB that `capnp` sets for a
/// message that it reads.
const MAX_BATCH_LEN: usize = 1_024;

/// How long a link stays open and pings its peer after the last journal call (append, claim or fetch), in
/// milliseconds.
const JOURNAL_IDLE_MS: u64 = 60_000;

/// Time without any call after which a link without recent journal calls closes, in milliseconds. Successive heartbeats
/// go to different peers, so the links that carry only heartbeats would otherwise accumulate and use more bytes for
/// pings than for heartbeats.
const HEARTBEAT_IDLE_MS: u64 = 2_000;

/// Link to one peer, with at most one current connection.
#[derive(Debug)]
pub(crate) struct Link {
    addr: SocketAddr,
    options: PeerOptions,
    /// Connection for the next call; `None` before the first call and after a failed one.
    current: RefCell<Option<Rc<Connection>>>,
    /// Held while a connection is opened, so that concurrent calls wait for one connection and share it.
    connect_lock: Mutex<()>,
}

impl Link {
    pub fn new(addr: SocketAddr, options: PeerOptions) -> Rc<Self> {
        Rc::new(Self { addr, options, current: RefCell::default(), connect_lock: Mutex::default() })
    }

    /// Makes the queued calls until every `PeerHandle` is dropped or the link is idle. The idle check runs at each ping
    /// interval.
    ///
    /// One batch of appends is in flight at a time. Appends that arrive in the meantime form the next batch.
    pub async fn run(self: Rc<Self>, mut calls: mpsc::Receiver<LinkCall>) {
        let mut queued: Vec<AppendCall> = Vec::new();
        let mut batch: Option<JoinHandle<()>> = None;
        let mut last_call = Instant::now();
        let mut last_journal_call: Option<Instant> = None;
        let ping_interval = Duration::from_millis(self.options.ping_interval_ms);
        let mut pings = tokio::time::interval_at(last_call + ping_interval, ping_interval);
        loop {
            if batch.is_none() && !queued.is_empty() {
                let rest = queued.split_off(queued.len().min(MAX_BATCH_LEN));
                let appends = std::mem::replace(&mut queued, rest);
                batch = Some(spawn_local(Rc::clone(&self).run_batch(appends)));
            }
            tokio::select! {
                call = calls.recv() => {
                    let Some(call) = call else { break };
                    last_call = Instant::now();
                    if !matches!(call, LinkCall::Heartbeat { .. } | LinkCall::Config { .. }) {
                        last_journal_call = Some(last_call);
                    }
                    match call {
                        LinkCall::Append(append) => queued.push(append),
                        other => drop(spawn_local(Rc::clone(&self).run_call(other))),
                    }
                    // Drain the channel, so that the next batch includes all appends that have arrived.
                    while let Ok(call) = calls.try_recv() {
                        if !matches!(call, LinkCall::Heartbeat { .. } | LinkCall::Config { .. }) {
                            last_journal_call = Some(last_call);
                        }
                        match call {
                            LinkCall::Append(append) => queued.push(append),
                            other => drop(spawn_local(Rc::clone(&self).run_call(other))),
                        }
                    }
                }
                () = batch_finished(&mut batch) => batch = None,
                _ = pings.tick() => {
                    let journal_idle = Duration::from_millis(JOURNAL_IDLE_MS);
                    let has_journal_calls = last_journal_call.is_some_and(|at| at.elapsed() <= journal_idle);
                    let heartbeat_idle = Duration::from_millis(HEARTBEAT_IDLE_MS);
                    if !has_journal_calls && last_call.elapsed() > heartbeat_idle {
                        break;
                    }
                    if has_journal_calls && self.current.borrow().is_some() {
                        drop(spawn_local(Rc::clone(&self).ping()));
                    }
                }
            }
        }
    }

    async fn run_batch(self: Rc<Self>, appends: Vec<AppendCall>) {
        match self.send_appends(&appends).await {
            Ok(statuses) => {
                for (call, status) in appends.into_iter().zip(statuses) {
                    let _ = call.reply.send(Ok(status));
                }
            }
            Err(err) => {
                log::info!("peer: a batch of appends to {} failed: {err}", self.addr);
                for call in appends {
                    let _ = call.reply.send(Err(PeerError::Timeout));
                }
            }
        }
    }

    async fn send_appends(&self, appends: &[AppendCall]) -> Result<Vec<AppendStatus>, PeerError> {
        self.call(async |client| {
            let mut request = client.append_request();
            let mut entries = request.get().init_entries(appends.len() as u32);
            for (index, call) in appends.iter().enumerate() {
                encode::append(&call.append, entries.reborrow().get(index as u32));
            }
            let response = request.send().promise.await?;
            let statuses = response.get()?.get_statuses()?;
            let statuses = statuses.iter().map(|raw| Ok(decode::append_status(raw?)));
            statuses.collect::<Result<_, PeerError>>()
        })
        .await
    }

    async fn run_call(self: Rc<Self>, call: LinkCall) {
        // A failed send means that the caller no longer waits for the answer.
        match call {
            LinkCall::Append(call) => self.run_batch(vec![call]).await,
            LinkCall::Claim { cursor, account, owner, nonce, reply } => {
                let _ = reply.send(self.claim(&cursor, &account, &owner, nonce).await);
            }
            LinkCall::Config { after_revision, reply } => {
                let _ = reply.send(self.config(after_revision).await);
            }
            LinkCall::Fetch { cursor, account, reply } => {
                let _ = reply.send(self.fetch(&cursor, &account).await);
            }
            LinkCall::Heartbeat { body, reply } => {
                let _ = reply.send(self.heartbeat(&body).await);
            }
        }
    }

    async fn claim(
        &self,
        cursor: &Cursor,
        account: &AccountName,
        owner: &VmId,
        nonce: u32,
    ) -> Result<Result<Replica, ClaimError>, PeerError> {
        self.call(async |client| {
            let mut request = client.claim_request();
            let mut params = request.get();
            params.set_cursor(cursor.to_string());
            params.set_account(account.as_str());
            params.set_owner(owner.as_str());
            params.set_nonce(nonce);
            let response = request.send().promise.await?;
            let answer = response.get()?;
            if let Err(err) = decode::claim_status(answer.get_status()?) {
                return Ok(Err(err));
            }
            decode::replica(answer.get_journal()?).map(Ok)
        })
        .await
    }

    async fn fetch(
        &self,
        cursor: &Cursor,
        account: &AccountName,
    ) -> Result<Result<ReplicaSummary, ClaimError>, PeerError> {
        self.call(async |client| {
            let mut request = client.fetch_request();
            let mut params = request.get();
            params.set_cursor(cursor.to_string());
            params.set_account(account.as_str());
            let response = request.send().promise.await?;
            let answer = response.get()?;
            let found = ReplicaSummary {
                view_number: answer.get_view_number(),
                token_count: answer.get_length(),
            };
            Ok(decode::claim_status(answer.get_status()?).map(|()| found))
        })
        .await
    }

    async fn heartbeat(&self, body: &[u8]) -> Result<Vec<u8>, PeerError> {
        self.call(async |client| {
            let mut request = client.heartbeat_request();
            request.get().set_body(body);
            let response = request.send().promise.await?;
            Ok(response.get()?.get_body()?.to_vec())
        })
        .await
    }

    async fn config(&self, after_revision: u64) -> Result<Option<ConfigRevision>, PeerError> {
        self.call(async |client| {
            let mut request = client.config_request();
            request.get().set_after_revision(after_revision);
            let response = request.send().promise.await?;
            let answer = response.get()?;
            let revision = answer.get_revision();
            let document = answer.get_document()?.into();
            Ok((revision > 0).then_some(ConfigRevision { revision, document }))
        })
        .await
    }

    async fn ping(self: Rc<Self>) {
        if let Err(err) = self.heartbeat(&[]).await {
            log::info!("peer: the daemon at {} did not answer a ping: {err}", self.addr);
        }
    }

    /// Makes a call and, if it fails, retries it once on a new connection. The retry is safe because all calls are
    /// idempotent.
    async fn call<T>(
        &self,
        send: impl AsyncFn(&peer::Client) -> Result<T, PeerError>,
    ) -> Result<T, PeerError> {
        let mut failure = PeerError::Timeout;
        for _ in 0..MAX_ATTEMPTS {
            let connection = self.connection().await?;
            let wait = Duration::from_millis(self.options.timeout_ms);
            failure = match timeout(wait, send(&connection.client.0)).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(err)) => err,
                Err(_) => PeerError::Timeout,
            };
            self.discard(&connection);
        }
        Err(failure)
    }

    /// Returns the current connection, or opens one if there is none.
    async fn connection(&self) -> Result<Rc<Connection>, PeerError> {
        let _guard = self.connect_lock.lock().await;
        if let Some(connection) = &*self.current.borrow() {
            return Ok(Rc::clone(connection));
        }
        let wait = Duration::from_millis(self.options.timeout_ms);
        let opened = timeout(wait, Connection::open(self.addr)).await;
        let connection = Rc::new(opened.map_err(|_| PeerError::Timeout)??);
        *self.current.borrow_mut() = Some(Rc::clone(&connection));
        Ok(connection)
    }

    /// Removes a connection on which a call failed, so that the next call opens a new one. Does nothing if the failed
    /// connection is no longer the current one.
    fn discard(&self, failed: &Rc<Connection>) {
        let mut current = self.current.borrow_mut();
        if current.as_ref().is_some_and(|connection| Rc::ptr_eq(connection, failed)) {
            *current = None;
        }
    }
}

/// Waits for the batch in flight, or forever if there is none.
async fn batch_finished(batch: &mut Option<JoinHandle<()>>) {
    match batch {
        Some(task) => drop(task.await),
        None => std::future::pending().await,
    }
}
