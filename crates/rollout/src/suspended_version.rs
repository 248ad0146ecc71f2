//! Version whose order was replaced before it was found good.

use affinity::SoftwareVersion;

/// Version whose order was replaced by one for another version before it was found good. It is not one of the old versions,
/// which get requests without a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspendedVersion {
    /// Version that the replaced order was for.
    pub version: SoftwareVersion,
    /// Whether the version was found bad.
    pub is_bad: bool,
}
