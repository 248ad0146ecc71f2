//! Models in the configuration document.

use crate::engine_role::RoleCount;
use base::{ModelName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// Model with the versions, adapters and engine roles that serve it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Unique name that callers use.
    pub name: ModelName,
    /// Service whose engines run the model.
    pub service: ServiceName,
    /// Version that new generations are pinned to.
    pub version: VersionName,
    /// Older versions, which stay loaded until the generations pinned to them have ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub older_versions: Vec<VersionName>,
    /// Adapters that callers can request as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Number of engines for each role. If the list is empty, the engines choose their roles themselves.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub roles: Vec<RoleCount>,
}

impl Model {
    /// Creates a model with one version, without adapters and roles.
    pub fn new(name: &ModelName, service: &ServiceName, version: &VersionName) -> Self {
        Self {
            name: name.clone(),
            service: service.clone(),
            version: version.clone(),
            older_versions: Vec::new(),
            adapters: Vec::new(),
            roles: Vec::new(),
        }
    }

    /// Returns whether a version is served, for new generations or for running ones.
    pub fn has_version(&self, version: &VersionName) -> bool {
        self.version == *version || self.older_versions.contains(version)
    }
}
