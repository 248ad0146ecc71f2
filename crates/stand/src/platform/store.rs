//! Key-value store with revisions.

use std::collections::BTreeMap;
use wire::platform::{KvEntry, KvList, KvWrite};

/// Keys with their values; a removed key stays as a tombstone, so that watches see its removal.
#[derive(Debug, Default)]
pub(super) struct Store {
    entries: BTreeMap<String, Slot>,
    revision: u64,
}

#[derive(Debug)]
struct Slot {
    value: Option<String>,
    revision: u64,
}

impl Store {
    pub fn get(&self, key: &str) -> Option<KvEntry> {
        let slot = self.entries.get(key)?;
        let value = slot.value.clone()?;
        Some(KvEntry { key: key.to_owned(), value, revision: slot.revision })
    }

    /// Writes if the expected revision matches; the error is the entry as it stands.
    pub fn put(&mut self, key: &str, write: KvWrite) -> Result<u64, KvEntry> {
        let current = self.get(key);
        let current_revision = current.as_ref().map_or(0, |entry| entry.revision);
        if write.expect_revision.is_some_and(|expected| expected != current_revision) {
            let missing = KvEntry { key: key.to_owned(), value: String::new(), revision: 0 };
            return Err(current.unwrap_or(missing));
        }
        self.revision += 1;
        let slot = Slot { value: Some(write.value), revision: self.revision };
        self.entries.insert(key.to_owned(), slot);
        Ok(self.revision)
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
}
