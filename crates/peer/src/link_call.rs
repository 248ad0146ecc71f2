//! Calls that wait for a link.

use crate::{
    peer_error::PeerError,
    peer_service::{ConfigRevision, ReplicaSummary},
};
use base::{AccountName, VmId};
use recovery::{Append, AppendStatus, ClaimError, Cursor, Replica};
use tokio::sync::oneshot;

/// Where the answer to a call goes.
pub(crate) type Reply<T> = oneshot::Sender<Result<T, PeerError>>;

/// Append that waits for its batch.
#[derive(Debug)]
pub(crate) struct AppendCall {
    pub append: Append,
    pub reply: Reply<AppendStatus>,
}

/// Call that waits for a link.
#[derive(Debug)]
pub(crate) enum LinkCall {
    Append(AppendCall),
    Claim {
        cursor: Cursor,
        account: AccountName,
        owner: VmId,
        nonce: u32,
        reply: Reply<Result<Replica, ClaimError>>,
    },
    Config {
        after_revision: u64,
        reply: Reply<Option<ConfigRevision>>,
    },
    Fetch {
        cursor: Cursor,
        account: AccountName,
        reply: Reply<Result<ReplicaSummary, ClaimError>>,
    },
    Heartbeat {
        body: Vec<u8>,
        reply: Reply<Vec<u8>>,
    },
}
