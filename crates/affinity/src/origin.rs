//! What is known of the software version that began a stream.

use crate::software_version::SoftwareVersion;

/// What is known of the software version that began a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The stream began at this version, and may go on only there.
    Known(SoftwareVersion),
    /// More than one version may have begun the stream.
    Unknown,
}
