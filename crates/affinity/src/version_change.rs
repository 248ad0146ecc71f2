//! Change of the software versions that are listed.

use crate::service_version::ServiceVersion;

/// Change of the software versions that are listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionChange {
    /// The first instance of the version was listed.
    Appeared {
        /// Version that is now listed.
        software: ServiceVersion,
        /// Number of versions of the service in play, including this one.
        in_play: usize,
        /// Number of streams of the service that this daemon has begun and not recorded in the store yet.
        unwritten: usize,
    },
    /// The last instance of the version is no longer listed.
    Left(ServiceVersion),
}
