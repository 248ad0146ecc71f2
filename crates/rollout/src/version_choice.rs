//! Versions that a request may be sent to.

use affinity::SoftwareVersion;

/// Versions that a request may be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionChoice {
    /// Any version.
    Any,
    /// Any version but these.
    Without(Vec<SoftwareVersion>),
    /// This version, or another one if it has no usable instance.
    Prefer {
        /// Version that is preferred.
        version: SoftwareVersion,
        /// Whether the request goes to a few instances only, so that these run under normal load.
        is_concentrated: bool,
    },
}
