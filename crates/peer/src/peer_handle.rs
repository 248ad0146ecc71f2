//! Queues calls to peers, from any thread, for the peer thread.

use crate::{
    link_call::{AppendCall, LinkCall, ReplySender},
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

/// Largest number of calls queued for one peer. Further calls fail with `Busy`.
const MAX_QUEUED_CALLS: usize = 16_384;

/// Link that the peer thread is to run: the address of the peer and the queue of calls to it.
pub(crate) type NewLink = (SocketAddr, mpsc::Receiver<LinkCall>);

/// Handle that makes calls to peers from any thread.
///
/// Each call ends within a bounded time, which follows from the timeouts in `PeerOptions`.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    new_links: mpsc::UnboundedSender<NewLink>,
    /// Queue of calls to each peer whose link is open.
    links: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<LinkCall>>>>,
    /// Address to connect to in place of each key.
    address_overrides: Arc<HashMap<SocketAddr, SocketAddr>>,
}

impl PeerHandle {
    pub(crate) fn new(new_links: mpsc::UnboundedSender<NewLink>) -> Self {
        Self { new_links, links: Arc::default(), address_overrides: Arc::default() }
    }

    /// Returns a handle that connects to another address wherever `address_overrides` maps the peer's address to one.
    pub fn with_address_overrides(
        self,
        address_overrides: HashMap<SocketAddr, SocketAddr>,
    ) -> Self {
        Self { address_overrides: Arc::new(address_overrides), ..self }
    }

    /// Appends tokens to the journal replica that the peer at `addr` holds.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no valid answer.
    pub async fn append(
        &self,
        addr: SocketAddr,
        append: Append,
    ) -> Result<AppendStatus, PeerError> {
        self.call(addr, |reply| LinkCall::Append(AppendCall { append, reply })).await
    }

    /// Claims the journal replica at `addr` for `owner`. Another call with an equal nonce repeats this claim and does
    /// not begin a second view.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no valid answer. The inner result fails if the peer refused the claim.
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

    /// Returns a summary of the journal replica that a claim at `addr` would find, without claiming it.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no valid answer. The inner result fails if the peer would refuse the claim.
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        cursor: Cursor,
        account: AccountName,
    ) -> Result<Result<ReplicaSummary, ClaimError>, PeerError> {
        self.call(addr, |reply| LinkCall::Fetch { cursor, account, reply }).await
    }

    /// Sends a heartbeat and returns the body of the peer's answer. A heartbeat with an empty body is a ping, which the
    /// peer answers with an empty body and without a call to its `PeerService`.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no valid answer.
    pub async fn heartbeat(&self, addr: SocketAddr, body: Vec<u8>) -> Result<Vec<u8>, PeerError> {
        self.call(addr, |reply| LinkCall::Heartbeat { body, reply }).await
    }

    /// Requests the peer's configuration. Returns `None` if its revision is not greater than `after_revision`.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no valid answer.
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
        call: impl FnOnce(ReplySender<T>) -> LinkCall,
    ) -> Result<T, PeerError> {
        let (reply, answer) = oneshot::channel();
        let addr = self.address_overrides.get(&addr).copied().unwrap_or(addr);
        self.enqueue(addr, call(reply))?;
        answer.await.map_err(|_| PeerError::Stopped)?
    }

    /// Queues a call for the link to the peer at `addr`, and opens the link if there is none.
    fn enqueue(&self, addr: SocketAddr, call: LinkCall) -> Result<(), PeerError> {
        let mut links = lock(&self.links);
        let Some(link) = links.get(&addr) else { return self.open_link(&mut links, addr, call) };
        match link.try_send(call) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => Err(PeerError::Busy),
            Err(TrySendError::Closed(call)) => self.open_link(&mut links, addr, call),
        }
    }

    /// Starts a link to the peer at `addr`, with `call` as the first call in its queue.
    fn open_link(
        &self,
        links: &mut HashMap<SocketAddr, mpsc::Sender<LinkCall>>,
        addr: SocketAddr,
        call: LinkCall,
    ) -> Result<(), PeerError> {
        links.retain(|_, link| !link.is_closed());
        let (sender, calls) = mpsc::channel(MAX_QUEUED_CALLS);
        sender.try_send(call).map_err(|_| PeerError::Busy)?;
        self.new_links.send((addr, calls)).map_err(|_| PeerError::Stopped)?;
        links.insert(addr, sender);
        Ok(())
    }
}
