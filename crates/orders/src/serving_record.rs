//! Record of the versions that new generations use.

use base::{ModelName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// Prefix of the keys of serving records in the platform.
pub const SERVING_PREFIX: &str = "serving/";

/// Returns the key of a service's serving record.
pub fn serving_key(service: &ServiceName) -> String {
    format!("{SERVING_PREFIX}{service}")
}

/// Version that the holder of a service's lease has chosen for new generations of each model. Entries read the record,
/// so that new generations use a version only when enough engines serve that version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServingRecord {
    /// Fencing token of the holder that wrote the record.
    pub fencing_token: u64,
    /// Chosen version of each model, sorted by model name.
    pub models: Vec<(ModelName, VersionName)>,
}

impl ServingRecord {
    /// Returns the version chosen for new generations of a model; `None` if the record does not contain the model.
    pub fn version(&self, model: &ModelName) -> Option<&VersionName> {
        self.models.iter().find(|(name, _)| name == model).map(|(_, version)| version)
    }
}
