//! Key-value store with revisions and leases, which the fake platform keeps in memory.

use base::HashMap;
use std::collections::BTreeMap;
use wire::platform::{KvEntry, KvList, KvWrite, LeaseGranted};

/// Keys with their values. A removed key stays as a tombstone, so that watches see its removal.
#[derive(Debug, Default)]
pub(super) struct Store {
    entries: BTreeMap<String, Slot>,
    revision: u64,
    leases: HashMap<u64, Lease>,
    leases_granted: u64,
}

#[derive(Debug)]
struct Slot {
    /// `None` in the tombstone of a removed key.
    value: Option<String>,
    /// Revision of the last change of the key.
    revision: u64,
    /// Lease whose end removes the key; `None` if the key is not attached to a lease.
    lease_id: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    fencing_token: u64,
    ttl_ms: u64,
    expires_at_ms: u64,
}

/// Reason why a write was rejected.
#[derive(Debug)]
pub(super) enum WriteError {
    /// The key has another revision than expected; contains the current entry, with revision 0 for a missing key.
    Conflict(KvEntry),
    /// The lease has ended or never existed.
    LeaseEnded,
}

impl Store {
    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn get(&self, key: &str) -> Option<KvEntry> {
        let slot = self.entries.get(key)?;
        let value = slot.value.clone()?;
        Some(KvEntry { key: key.to_owned(), value, revision: slot.revision })
    }

    /// Writes a key if the expected revision matches. Returns the new revision.
    pub fn put(&mut self, key: &str, write: KvWrite) -> Result<u64, WriteError> {
        self.check_revision(key, write.expect_revision)?;
        if write.lease_id.is_some_and(|lease_id| !self.leases.contains_key(&lease_id)) {
            return Err(WriteError::LeaseEnded);
        }
        self.set(key, Some(write.value), write.lease_id);
        Ok(self.revision)
    }

    /// Removes a key if the expected revision matches. Returns the revision of the store.
    pub fn delete(&mut self, key: &str, expect: Option<u64>) -> Result<u64, WriteError> {
        self.check_revision(key, expect)?;
        if self.get(key).is_some() {
            self.set(key, None, None);
        }
        Ok(self.revision)
    }

    /// Returns the existing entries whose keys start with `prefix`.
    pub fn list(&self, prefix: &str) -> KvList {
        let mut list = self.changes(prefix, 0);
        list.entries.retain(|entry| self.entries[&entry.key].value.is_some());
        list
    }

    /// Returns the entries whose keys start with `prefix` and that changed after `revision`. A removed key is included
    /// with an empty value.
    pub fn changes(&self, prefix: &str, revision: u64) -> KvList {
        let entries = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, slot)| slot.revision > revision)
            .map(|(key, slot)| KvEntry {
                key: key.clone(),
                value: slot.value.clone().unwrap_or_default(),
                revision: slot.revision,
            })
            .collect();
        KvList { revision: self.revision, entries }
    }

    /// Grants a new lease, whose id also is its fencing token.
    pub fn grant(&mut self, ttl_ms: u64, now_ms: u64) -> LeaseGranted {
        self.leases_granted += 1;
        let lease_id = self.leases_granted;
        let lease =
            Lease { fencing_token: lease_id, ttl_ms, expires_at_ms: now_ms.saturating_add(ttl_ms) };
        self.leases.insert(lease_id, lease);
        LeaseGranted { lease_id, fencing_token: lease.fencing_token, ttl_ms }
    }

    /// Renews a lease for its full duration from now. Returns `None` if it has ended.
    pub fn keep_alive(&mut self, lease_id: u64, now_ms: u64) -> Option<LeaseGranted> {
        let lease = self.leases.get_mut(&lease_id)?;
        lease.expires_at_ms = now_ms.saturating_add(lease.ttl_ms);
        let Lease { fencing_token, ttl_ms, .. } = *lease;
        Some(LeaseGranted { lease_id, fencing_token, ttl_ms })
    }

    /// Ends a lease and removes the keys attached to it. Returns false if the lease had already ended.
    pub fn revoke(&mut self, lease_id: u64) -> bool {
        if self.leases.remove(&lease_id).is_none() {
            return false;
        }
        let attached = self.entries.iter().filter(|(_, slot)| slot.lease_id == Some(lease_id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.set(&key, None, None);
        }
        true
    }

    /// Ends all leases that have expired at `now_ms`, in the order of their ids.
    pub fn expire(&mut self, now_ms: u64) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at_ms <= now_ms);
        let mut expired: Vec<u64> = expired.map(|(&lease_id, _)| lease_id).collect();
        expired.sort_unstable();
        for lease_id in expired {
            self.revoke(lease_id);
        }
    }

    fn check_revision(&self, key: &str, expect: Option<u64>) -> Result<(), WriteError> {
        let current = self.get(key).unwrap_or_else(|| KvEntry {
            key: key.to_owned(),
            value: String::new(),
            revision: 0,
        });
        if expect.is_some_and(|expected| expected != current.revision) {
            return Err(WriteError::Conflict(current));
        }
        Ok(())
    }

    fn set(&mut self, key: &str, value: Option<String>, lease_id: Option<u64>) {
        self.revision += 1;
        let slot = Slot { value, revision: self.revision, lease_id };
        self.entries.insert(key.to_owned(), slot);
    }
}
