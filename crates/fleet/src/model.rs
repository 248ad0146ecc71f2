//! Model in service.

use crate::engine_role::RoleCount;
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
    /// Versions that stay loaded until the generations pinned to them have ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub older_versions: Vec<VersionName>,
    /// Adapters that callers may ask for as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Engines for each role; the engines choose by themselves if it is empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub roles: Vec<RoleCount>,
}

impl Model {
    /// Model with one version, without adapters and roles.
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

    /// Whether a version is served, for new generations or for older ones.
    pub fn has_version(&self, version: &VersionName) -> bool {
        self.version == *version || self.older_versions.contains(version)
    }
}
