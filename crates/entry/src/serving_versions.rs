//! Choice of the model version for a new generation.

use base::{HashMap, VersionName, lock};
use fleet::Model;
use orders::ServingRecord;
use std::sync::{Mutex, MutexGuard};

/// Serving records by their keys on the platform. Each record is written by the daemon that holds the order lease of a
/// service, and names the version for new generations of each model.
#[derive(Debug, Default)]
pub(crate) struct ServingVersions {
    records: Mutex<HashMap<String, ServingRecord>>,
}

impl ServingVersions {
    /// Applies the serving record stored under `key`, unless its fencing token shows that it was written by an earlier
    /// lease holder than the record that is already known.
    pub fn update(&self, key: &str, record: ServingRecord) {
        let mut records = self.lock();
        let known_token = records.get(key).map_or(0, |known| known.fencing_token);
        if record.fencing_token >= known_token {
            records.insert(key.to_owned(), record);
        }
    }

    /// Version for a new generation of `model`: the version in the serving record if the model still has that version,
    /// otherwise the configured one.
    pub fn version(&self, model: &Model) -> VersionName {
        let records = self.lock();
        let record = records.get(&orders::serving_key(&model.service));
        let chosen = record.and_then(|record| record.version(&model.name));
        chosen.filter(|version| model.has_version(version)).unwrap_or(&model.version).clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, ServingRecord>> {
        lock(&self.records)
    }
}
