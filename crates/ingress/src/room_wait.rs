//! Wait for room in the daemon's memory for a part of a response.

use futures::{FutureExt, future::BoxFuture};
use std::{
    fmt::{Debug, Formatter, Result as FmtResult},
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use web::{ByteAccount, HeldBytes};

/// Longest wait for room, in milliseconds. Meanwhile callers that do not read are closed, and bodies that are late are given
/// up; a stream that pauses for longer than this is late.
const MAX_WAIT_MS: u64 = 1_500;

/// Wait for an amount in the account.
pub(crate) struct RoomWait(BoxFuture<'static, Option<HeldBytes>>);

impl RoomWait {
    /// Starts to wait until `account` has room for `bytes`.
    pub fn start(account: Arc<ByteAccount>, bytes: usize) -> Self {
        let wait = Duration::from_millis(MAX_WAIT_MS);
        Self(async move { tokio::time::timeout(wait, account.hold(bytes)).await.ok() }.boxed())
    }

    /// Is ready with the amount, or with `None` if there was no room for it in time.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<HeldBytes>> {
        self.0.poll_unpin(cx)
    }
}

impl Debug for RoomWait {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.debug_struct("RoomWait").finish_non_exhaustive()
    }
}
