//! Versions that new generations use.

use base::{ModelName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// Prefix of the keys that hold serving records.
pub const SERVING_PREFIX: &str = "serving/";

/// Key of a service's serving record.
pub fn serving_key(service: &ServiceName) -> String {
    format!("{SERVING_PREFIX}{service}")
}

/// Version that new generations of each model use, as the holder has decided. Entries follow it, so that new
/// generations go to a version only when enough engines have it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServingRecord {
    /// Fencing token of the holder that wrote it.
    pub fencing_token: u64,
    /// Models in order of their names.
    pub models: Vec<(ModelName, VersionName)>,
}

impl ServingRecord {
    /// Version of a model.
    pub fn version(&self, model: &ModelName) -> Option<&VersionName> {
        self.models.iter().find(|(name, _)| name == model).map(|(_, version)| version)
    }
}
