//! Versions or instances that a request may be sent to during a rollout.

use crate::{instance::Instance, instance_entry::InstanceId};
use affinity::SoftwareVersion;

/// Versions or instances that a request may be sent to during a rollout.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum VersionRule {
    /// All of them.
    #[default]
    Any,
    /// Instances of any version but these.
    Without(Vec<SoftwareVersion>),
    /// These instances.
    Among(Vec<InstanceId>),
}

impl VersionRule {
    /// Whether no request may be sent to instances of `version`.
    pub fn excludes(&self, version: &SoftwareVersion) -> bool {
        matches!(self, Self::Without(excluded) if excluded.contains(version))
    }

    /// Whether a request may be sent to `instance`.
    pub fn allows(&self, instance: &Instance) -> bool {
        match self {
            Self::Any => true,
            Self::Without(excluded) => !excluded.contains(&instance.entry.software_version),
            Self::Among(ids) => ids.contains(&instance.entry.id),
        }
    }
}
