//! Version of the software that an upstream runs.

use crate::version_error::VersionError;
use serde::{Deserialize, Serialize};
use std::{
    fmt::{Display, Formatter, Result as FmtResult},
    sync::Arc,
};

/// Maximum length of a version, in bytes.
const MAX_VERSION_BYTES: usize = 128;

/// Version of the software of an upstream, as the upstream states it. Versions are compared for equality only.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for SoftwareVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.write_str(&self.0)
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        (*version.0).into()
    }
}

impl TryFrom<&str> for SoftwareVersion {
    type Error = VersionError;

    fn try_from(raw: &str) -> Result<Self, VersionError> {
        match raw.len() {
            0 => Err(VersionError::Empty),
            size_bytes if size_bytes > MAX_VERSION_BYTES => Err(VersionError::TooLong(size_bytes)),
            _ => Ok(Self(raw.into())),
        }
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = VersionError;

    fn try_from(raw: String) -> Result<Self, VersionError> {
        Self::try_from(&*raw)
    }
}
