//! Implementation of the service that this daemon offers to its peers.

use crate::{config::Config, gossip::Gossip, journals::Journals};
use base::{AccountName, VmId};
use peer::{ConfigRevision, PeerService, ReplicaSummary};
use recovery::{Append, AppendStatus, ClaimError, Cursor, Replica};
use std::sync::{Arc, OnceLock};
use tokio::sync::watch;

/// Answers the requests of peers: appends to journal replicas, claims, heartbeats and reads of the configuration.
#[derive(Debug)]
pub(crate) struct PeerHandler {
    pub journals: Arc<Journals>,
    pub config: watch::Receiver<Arc<Config>>,
    /// Set once the server for peers has an address, which the membership needs. Until then, heartbeats are answered
    /// with empty bodies.
    pub gossip: Arc<OnceLock<Arc<Gossip>>>,
}

impl PeerService for PeerHandler {
    fn append(&self, append: &Append) -> AppendStatus {
        self.journals.append(append)
    }

    fn claim(
        &self,
        cursor: &Cursor,
        account: &AccountName,
        owner: &VmId,
        nonce: u32,
    ) -> Result<Replica, ClaimError> {
        self.journals.claim(cursor, account, owner, nonce)
    }

    fn fetch(&self, cursor: &Cursor, account: &AccountName) -> Result<ReplicaSummary, ClaimError> {
        let (view_number, token_count) = self.journals.find(cursor, account)?;
        Ok(ReplicaSummary { view_number, token_count })
    }

    fn heartbeat(&self, body: &[u8]) -> Vec<u8> {
        self.gossip.get().map(|gossip| gossip.handle_message(body)).unwrap_or_default()
    }

    fn config(&self, after_revision: u64) -> Option<ConfigRevision> {
        let config = Arc::clone(&self.config.borrow());
        if config.revision <= after_revision {
            return None;
        }
        let document = config.document.encode().ok()?.into_bytes().into();
        Some(ConfigRevision { revision: config.revision, document })
    }
}
