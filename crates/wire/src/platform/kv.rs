//! Key-value service.

use serde::{Deserialize, Serialize};

/// A key with its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvEntry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Revision of the store at the last write of this key; 0 for a key that does not exist.
    pub revision: u64,
}

/// Body of `PUT /kv/{key}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvWrite {
    /// New value.
    pub value: String,
    /// The write takes effect only if the key has this revision; 0 demands that it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect_revision: Option<u64>,
    /// Lease whose end removes the key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_id: Option<u64>,
}

/// Answer to a write that took effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvWritten {
    /// Revision of the store after the write.
    pub revision: u64,
}

/// Answer to a write that was refused with status 409.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvConflict {
    /// The entry as it stands; revision 0 if the key does not exist.
    pub current: KvEntry,
}

/// Answer to `GET /kv?prefix=…` and to a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvList {
    /// Revision of the store at which the list was taken.
    pub revision: u64,
    /// Entries in order of their keys. In a watch answer a removed key has an empty value and its removal's revision.
    pub entries: Vec<KvEntry>,
}
