//! Versions that new generations use.

use base::{HashMap, VersionName, lock};
use fleet::Model;
use orders::ServingRecord;
use std::sync::{Mutex, MutexGuard};

/// Versions that the holders of the services' orders have chosen for new generations.
#[derive(Debug, Default)]
pub(crate) struct ServingVersions {
    records: Mutex<HashMap<String, ServingRecord>>,
}

impl ServingVersions {
    /// Takes over a record unless it is of an earlier holder than the known one.
    pub fn update(&self, key: &str, record: ServingRecord) {
        let mut records = self.lock();
        let known_token = records.get(key).map_or(0, |known| known.fencing_token);
        if record.fencing_token >= known_token {
            records.insert(key.to_owned(), record);
        }
    }

    /// Version for a new generation: the chosen one, or the configured one if none that is in service was chosen.
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
