//! Messages of the platform's key-value store.

use serde::{Deserialize, Serialize};

/// Item of the key-value store: a key with its current value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvEntry {
    pub key: String,
    pub value: String,
    /// Revision of the store after the last write of this key; 0 if the key does not exist.
    pub revision: u64,
}

/// Body of `PUT /kv/{key}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvWrite {
    /// Value that replaces the current one.
    pub value: String,
    /// Revision that the key must have for the write to take effect; 0 if the key must not exist. Absent if the write
    /// is unconditional.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect_revision: Option<u64>,
    /// Identifier of the lease that the key is attached to. The key is removed when the lease ends. Absent if the key
    /// does not depend on a lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_id: Option<u64>,
}

/// Response to a write that took effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvWritten {
    /// Revision of the store after the write.
    pub revision: u64,
}

/// Response to a write that was rejected with status 409 because the revision did not match.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvConflict {
    /// Current item of the key; its revision is 0 if the key does not exist.
    pub current: KvEntry,
}

/// Response to `GET /kv?prefix=…` and to a watch, `GET /watch?prefix=…`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvList {
    /// Revision of the store at which the list was taken.
    pub revision: u64,
    /// Items ordered by key. In the response to a watch, a removed key has an empty value and the revision of its
    /// removal.
    pub entries: Vec<KvEntry>,
}
