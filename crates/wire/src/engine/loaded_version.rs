//! Model version that an engine serves or loads.

use serde::{Deserialize, Serialize};

/// Model version with its adapters.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedVersion {
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Adapters of the version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
}
