//! Versions that a request may be sent to.

use affinity::SoftwareVersion;

/// Versions that a request may be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionChoice {
    /// Any version.
    Any,
    /// Any version but this one.
    Without(SoftwareVersion),
    /// This version, or another one if it has no usable instance.
    Prefer {
        /// Version that is preferred.
        version: SoftwareVersion,
        /// Whether the request goes to a few instances only, so that these run under normal load.
        is_concentrated: bool,
    },
}

/// Which versions of a service have instances that take requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsableVersions {
    /// Whether another version than the target has.
    pub old: bool,
    /// Whether the target version has.
    pub target: bool,
    /// Slots of the target's instances divided by those of the others.
    pub slots_ratio: f64,
}
