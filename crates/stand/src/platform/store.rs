//! Key-value store with revisions and leases.

use base::HashMap;
use std::collections::BTreeMap;
use wire::platform::{KvEntry, KvList, KvWrite, LeaseGranted};

/// Keys with their values; a removed key stays as a tombstone, so that watches see its removal.
#[derive(Debug, Default)]
pub(super) struct Store {
    entries: BTreeMap<String, Slot>,
    revision: u64,
    leases: HashMap<u64, Lease>,
    leases_granted: u64,
}

#[derive(Debug)]
struct Slot {
    value: Option<String>,
    revision: u64,
    lease_id: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    fencing_token: u64,
    ttl_ms: u64,
    ends_at_ms: u64,
}

/// Why a write did not take effect.
#[derive(Debug)]
pub(super) enum WriteRefusal {
    /// The key has another revision; the entry as it stands.
    Conflict(KvEntry),
    /// The lease has ended.
    LeaseEnded,
}

impl Store {
    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn get(&self, key: &str) -> Option<KvEntry> {
        let slot = self.entries.get(key)?;
        let value = slot.value.clone()?;
        Some(KvEntry { key: key.to_owned(), value, revision: slot.revision })
    }

    /// Writes if the expected revision matches, and returns the new revision.
    pub fn put(&mut self, key: &str, write: KvWrite) -> Result<u64, WriteRefusal> {
        self.check_revision(key, write.expect_revision)?;
        if write.lease_id.is_some_and(|lease_id| !self.leases.contains_key(&lease_id)) {
            return Err(WriteRefusal::LeaseEnded);
        }
        self.set(key, Some(write.value), write.lease_id);
        Ok(self.revision)
    }

    /// Removes a key if the expected revision matches, and returns the revision of the store.
    pub fn delete(&mut self, key: &str, expect: Option<u64>) -> Result<u64, WriteRefusal> {
        self.check_revision(key, expect)?;
        if self.get(key).is_some() {
            self.set(key, None, None);
        }
        Ok(self.revision)
    }

    /// Existing entries under `prefix`.
    pub fn list(&self, prefix: &str) -> KvList {
        let mut list = self.changes(prefix, 0);
        list.entries.retain(|entry| self.entries[&entry.key].value.is_some());
        list
    }

    /// Entries under `prefix` that changed after `revision`.
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

    /// Grants a lease.
    pub fn grant(&mut self, ttl_ms: u64, now_ms: u64) -> LeaseGranted {
        self.leases_granted += 1;
        let lease_id = self.leases_granted;
        let lease =
            Lease { fencing_token: lease_id, ttl_ms, ends_at_ms: now_ms.saturating_add(ttl_ms) };
        self.leases.insert(lease_id, lease);
        LeaseGranted { lease_id, fencing_token: lease.fencing_token, ttl_ms }
    }

    /// Extends a lease to its whole duration from now; `None` if it has ended.
    pub fn keep_alive(&mut self, lease_id: u64, now_ms: u64) -> Option<LeaseGranted> {
        let lease = self.leases.get_mut(&lease_id)?;
        lease.ends_at_ms = now_ms.saturating_add(lease.ttl_ms);
        let Lease { fencing_token, ttl_ms, .. } = *lease;
        Some(LeaseGranted { lease_id, fencing_token, ttl_ms })
    }

    /// Ends a lease and removes its keys; false if it has ended already.
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

    /// Ends the leases whose time is over.
    pub fn expire(&mut self, now_ms: u64) {
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends_at_ms <= now_ms);
        let mut ended: Vec<u64> = ended.map(|(&lease_id, _)| lease_id).collect();
        ended.sort_unstable();
        for lease_id in ended {
            self.revoke(lease_id);
        }
    }

    fn check_revision(&self, key: &str, expect: Option<u64>) -> Result<(), WriteRefusal> {
        let current = self.get(key).unwrap_or_else(|| KvEntry {
            key: key.to_owned(),
            value: String::new(),
            revision: 0,
        });
        if expect.is_some_and(|expected| expected != current.revision) {
            return Err(WriteRefusal::Conflict(current));
        }
        Ok(())
    }

    fn set(&mut self, key: &str, value: Option<String>, lease_id: Option<u64>) {
        self.revision += 1;
        let slot = Slot { value, revision: self.revision, lease_id };
        self.entries.insert(key.to_owned(), slot);
    }
}
