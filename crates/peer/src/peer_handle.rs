//! Handle for calls to peers from any thread.

use crate::{
    link_call::{AppendCall, LinkCall, Reply},
    peer_error::PeerError,
    peer_service::{ConfigRevision, ReplicaSummary},
};
use base::{AccountName, HashMap, VmId, lock};
use recovery::{Append, AppendStatus, ClaimError, Cursor, Replica};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};
use tokio::sync::{
    mpsc::{self, error::TrySendError},
    oneshot,
};

/// Calls that may wait for one peer.
const WAITING_CALLS: usize = 16_384;

/// Link that the thread for peers is to run.
pub(crate) type NewLink = (SocketAddr, mpsc::Receiver<LinkCall>);

/// Handle for calls to peers. Each call ends within a bound that follows from the options.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    new_links: mpsc::UnboundedSender<NewLink>,
    links: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<LinkCall>>>>,
    via: Arc<HashMap<SocketAddr, SocketAddr>>,
}

impl PeerHandle {
    pub(crate) fn new(new_links: mpsc::UnboundedSender<NewLink>) -> Self {
        Self { new_links, links: Arc::default(), via: Arc::default() }
    }

    /// Handle that connects to other addresses in place of the keys of `via`.
    pub fn with_address_overrides(self, via: HashMap<SocketAddr, SocketAddr>) -> Self {
        Self { via: Arc::new(via), ..self }
    }

    /// Gives tokens of a journal to the holder at `addr`.
    ///
    /// # Errors
    ///
    /// The peer gave no answer.
    pub async fn append(
        &self,
        addr: SocketAddr,
        append: Append,
    ) -> Result<AppendStatus, PeerError> {
        self.call(addr, |reply| LinkCall::Append(AppendCall { append, reply })).await
    }

    /// Claims a journal at `addr` for `owner`. The same nonce repeats the same claim.
    ///
    /// # Errors
    ///
    /// The peer gave no answer.
    pub async fn claim(
        &self,
        addr: SocketAddr,
        cursor: Cursor,
        account: AccountName,
        owner: VmId,
        nonce: u32,
    ) -> Result<Result<Replica, ClaimError>, PeerError> {
        self.call(addr, |reply| LinkCall::Claim { cursor, account, owner, nonce, reply }).await
    }

    /// Asks what a claim at `addr` would find.
    ///
    /// # Errors
    ///
    /// The peer gave no answer.
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        cursor: Cursor,
        account: AccountName,
    ) -> Result<Result<ReplicaSummary, ClaimError>, PeerError> {
        self.call(addr, |reply| LinkCall::Fetch { cursor, account, reply }).await
    }

    /// Exchanges heartbeats. An empty body is a ping, which does not reach the peer's service.
    ///
    /// # Errors
    ///
    /// The peer gave no answer.
    pub async fn heartbeat(&self, addr: SocketAddr, body: Vec<u8>) -> Result<Vec<u8>, PeerError> {
        self.call(addr, |reply| LinkCall::Heartbeat { body, reply }).await
    }

    /// Asks for a configuration newer than `after_revision`.
    ///
    /// # Errors
    ///
    /// The peer gave no answer.
    pub async fn config(
        &self,
        addr: SocketAddr,
        after_revision: u64,
    ) -> Result<Option<ConfigRevision>, PeerError> {
        self.call(addr, |reply| LinkCall::Config { after_revision, reply }).await
    }

    async fn call<T>(
        &self,
        addr: SocketAddr,
        call: impl FnOnce(Reply<T>) -> LinkCall,
    ) -> Result<T, PeerError> {
        let (reply, answer) = oneshot::channel();
        let addr = self.via.get(&addr).copied().unwrap_or(addr);
        self.send(addr, call(reply))?;
        answer.await.map_err(|_| PeerError::Stopped)?
    }

    fn send(&self, addr: SocketAddr, call: LinkCall) -> Result<(), PeerError> {
        let mut links = lock(&self.links);
        let Some(link) = links.get(&addr) else { return self.open(&mut links, addr, call) };
        match link.try_send(call) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => Err(PeerError::Busy),
            Err(TrySendError::Closed(call)) => self.open(&mut links, addr, call),
        }
    }

    fn open(
        &self,
        links: &mut HashMap<SocketAddr, mpsc::Sender<LinkCall>>,
        addr: SocketAddr,
        call: LinkCall,
    ) -> Result<(), PeerError> {
        links.retain(|_, link| !link.is_closed());
        let (sender, calls) = mpsc::channel(WAITING_CALLS);
        sender.try_send(call).map_err(|_| PeerError::Busy)?;
        self.new_links.send((addr, calls)).map_err(|_| PeerError::Stopped)?;
        links.insert(addr, sender);
        Ok(())
    }
}
