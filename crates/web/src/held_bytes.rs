//! Bytes that are held in a `ByteAccount`.

use crate::byte_account::ByteAccount;
use bytes::Bytes;
use std::{cmp::Ordering, sync::Arc};

/// Amount that is held in an account and freed when it is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    account: Arc<ByteAccount>,
    bytes: usize,
}

impl HeldBytes {
    pub(crate) fn new(account: Arc<ByteAccount>, bytes: usize) -> Self {
        Self { account, bytes }
    }

    /// Account in which the amount is held.
    pub fn account(&self) -> &Arc<ByteAccount> {
        &self.account
    }

    /// Changes the amount to `bytes`. Returns `false`, without a change, if there is no room for a larger amount.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        match bytes.cmp(&self.bytes) {
            Ordering::Less => self.account.free(self.bytes - bytes),
            Ordering::Equal => {}
            Ordering::Greater if self.account.add(self.bytes, bytes) => {}
            Ordering::Greater => return false,
        }
        self.bytes = bytes;
        true
    }

    /// Changes the amount to `bytes`, also beyond the limit of the account. It is for what is kept in any case; other amounts
    /// then find no room.
    pub fn resize_beyond_limit(&mut self, bytes: usize) {
        match bytes.cmp(&self.bytes) {
            Ordering::Less => self.account.free(self.bytes - bytes),
            Ordering::Equal => {}
            Ordering::Greater => self.account.add_beyond_limit(bytes - self.bytes),
        }
        self.bytes = bytes;
    }

    /// Returns `content`, for which the amount is held until its last copy is dropped.
    pub fn attach_to(self, content: Bytes) -> Bytes {
        match self.bytes {
            0 => content,
            _ => Bytes::from_owner(HeldContent { content, _held: self }),
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.account.free(self.bytes);
    }
}

struct HeldContent {
    content: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
