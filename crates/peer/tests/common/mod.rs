//! Starts peer nodes that hold journal replicas in memory.

use base::{AccountName, VmId};
use peer::{ConfigRevision, PeerNode, PeerOptions, PeerService, ReplicaSummary};
use recovery::{Append, AppendStatus, ClaimError, Cursor, Replica, ReplicaLimits, ReplicaStore};
use std::sync::{Arc, Mutex};

/// Service that holds journal replicas. It answers a heartbeat with the bytes of the heartbeat's body in reverse order,
/// and its configuration is `doc` with revision 7.
struct ReplicaHolder(Mutex<ReplicaStore>);

impl PeerService for ReplicaHolder {
    fn append(&self, append: &Append) -> AppendStatus {
        self.0.lock().unwrap().append(append, 0)
    }

    fn claim(
        &self,
        cursor: &Cursor,
        account: &AccountName,
        owner: &VmId,
        nonce: u32,
    ) -> Result<Replica, ClaimError> {
        self.0.lock().unwrap().claim(cursor, account, owner, nonce, 0).cloned()
    }

    fn fetch(&self, cursor: &Cursor, account: &AccountName) -> Result<ReplicaSummary, ClaimError> {
        let store = self.0.lock().unwrap();
        let replica = store.check_claim(cursor, account)?;
        let view_number = replica.view().map_or(0, |id| id.number);
        Ok(ReplicaSummary { view_number, token_count: replica.tokens().len() })
    }

    fn heartbeat(&self, body: &[u8]) -> Vec<u8> {
        body.iter().rev().copied().collect()
    }

    fn config(&self, after_revision: u64) -> Option<ConfigRevision> {
        (after_revision < 7)
            .then(|| ConfigRevision { revision: 7, document: b"doc".as_slice().into() })
    }
}

/// Starts a node on a free loopback port. Its service is an empty `ReplicaHolder`.
pub fn start_node() -> PeerNode {
    let store = ReplicaStore::new(ReplicaLimits::default());
    let service = Arc::new(ReplicaHolder(Mutex::new(store)));
    PeerNode::start(([127, 0, 0, 1], 0).into(), PeerOptions::default(), service).unwrap()
}
