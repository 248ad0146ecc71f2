//! Versions of a service other than the target of its order.

use crate::suspended_version::SuspendedVersion;
use affinity::SoftwareVersion;

/// Largest number of old and of suspended versions that are remembered.
const MAX_VERSIONS: usize = 8;

/// Versions of a service other than the target of its order.
#[derive(Debug)]
pub(crate) struct OtherVersions {
    /// Versions of replaced orders that are not among the old ones.
    pub suspended: Vec<SuspendedVersion>,
    /// Versions that have got requests as old ones.
    old: Vec<SoftwareVersion>,
}

impl OtherVersions {
    /// Creates the versions beside an order that suspends the given ones.
    pub fn new(suspended: Vec<SuspendedVersion>) -> Self {
        Self { suspended, old: Vec::new() }
    }

    /// Suspended versions once an order for `target` has replaced this one, whose own target is suspended if it is given.
    pub fn suspended_after(
        &self,
        own: Option<SuspendedVersion>,
        target: &SoftwareVersion,
    ) -> Vec<SuspendedVersion> {
        let mut suspended = self.suspended.clone();
        suspended.extend(own);
        suspended.retain(|suspended| suspended.version != *target);
        let excess = suspended.len().saturating_sub(MAX_VERSIONS);
        suspended.drain(..excess);
        suspended
    }

    /// Whether a version has got requests as an old one.
    pub fn has_served(&self, version: &SoftwareVersion) -> bool {
        self.old.contains(version)
    }

    /// Whether a version is suspended because it was found bad.
    pub fn is_bad(&self, version: &SoftwareVersion) -> bool {
        self.suspended.iter().any(|suspended| suspended.is_bad && suspended.version == *version)
    }

    /// Suspended versions that get no requests. Those that were not found bad serve if no other is left.
    pub fn excluded(&self, may_use_suspended: bool) -> impl Iterator<Item = &SoftwareVersion> {
        let excluded = self.suspended.iter().filter(move |one| one.is_bad || !may_use_suspended);
        excluded.map(|suspended| &suspended.version)
    }

    /// Whether a request may be sent to an instance of `version` now. `may_use_suspended` tells whether no other version is
    /// left than those that are suspended.
    pub fn permit(
        &mut self,
        version: &SoftwareVersion,
        required: Option<&SoftwareVersion>,
        may_use_suspended: bool,
    ) -> bool {
        if let Some(suspended) = self.suspended.iter().find(|one| one.version == *version) {
            return !suspended.is_bad && (required == Some(version) || may_use_suspended);
        }
        if self.old.len() < MAX_VERSIONS && !self.old.contains(version) {
            self.old.push(version.clone());
        }
        true
    }
}
