//! Calls that a `PeerHandle` queues for the link to a peer.

use crate::{
    peer_error::PeerError,
    peer_service::{ConfigRevision, ReplicaSummary},
};
use base::{AccountName, VmId};
use recovery::{Append, AppendStatus, ClaimError, Cursor, Replica};
use tokio::sync::oneshot;

/// Channel through which the caller receives the answer to its call, or the reason why there is none.
pub(crate) type ReplySender<T> = oneshot::Sender<Result<T, PeerError>>;

/// Append that waits to be sent in a batch.
#[derive(Debug)]
pub(crate) struct AppendCall {
    pub append: Append,
    pub reply: ReplySender<AppendStatus>,
}

/// Call that is queued for a link, with the sender of its answer.
#[derive(Debug)]
pub(crate) enum LinkCall {
    Append(AppendCall),
    Claim {
        cursor: Cursor,
        account: AccountName,
        owner: VmId,
        nonce: u32,
        reply: ReplySender<Result<Replica, ClaimError>>,
    },
    Config {
        after_revision: u64,
        reply: ReplySender<Option<ConfigRevision>>,
    },
    Fetch {
        cursor: Cursor,
        account: AccountName,
        reply: ReplySender<Result<ReplicaSummary, ClaimError>>,
    },
    Heartbeat {
        body: Vec<u8>,
        reply: ReplySender<Vec<u8>>,
    },
}
