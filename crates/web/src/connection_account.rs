//! Part of the account of bytes that connections may use.

use crate::byte_account::ByteAccount;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Part of the account that all connections together may use, in percent. The rest remains for bodies and answers of
/// ordinary callers.
pub(crate) const CONNECTIONS_PERCENT: usize = 75;

/// Sum of what is held for connections, within the account of all bytes.
#[derive(Debug)]
pub(crate) struct ConnectionAccount {
    account: Arc<ByteAccount>,
    held_bytes: AtomicUsize,
    limit_bytes: usize,
}

impl ConnectionAccount {
    /// Creates an account whose amounts also count in `account`.
    pub fn new(account: Arc<ByteAccount>) -> Self {
        let limit_bytes = account.limit_bytes() * CONNECTIONS_PERCENT / 100;
        Self { account, held_bytes: AtomicUsize::new(0), limit_bytes }
    }

    /// Account of all bytes.
    pub fn whole(&self) -> &ByteAccount {
        &self.account
    }

    /// Largest sum of all amounts.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Holds `bytes` more. Returns `false`, without a change, if there is no room for them.
    pub fn add(&self, bytes: usize) -> bool {
        let update = |held: usize| Some(held + bytes).filter(|&sum| sum <= self.limit_bytes);
        if self.held_bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, update).is_err() {
            return false;
        }
        let has_room = self.account.add(0, bytes);
        if !has_room {
            self.held_bytes.fetch_sub(bytes, Ordering::SeqCst);
        }
        has_room
    }

    /// Frees `bytes`.
    pub fn free(&self, bytes: usize) {
        self.held_bytes.fetch_sub(bytes, Ordering::SeqCst);
        self.account.free(bytes);
    }
}
