//! Model in service.

use base::{ModelName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// A model with the version that new generations are pinned to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Name that callers use.
    pub name: ModelName,
    /// Service whose engines run it.
    pub service: ServiceName,
    /// Version for new generations.
    pub version: VersionName,
    /// Adapters that callers may ask for as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<String>,
}
