//! Model version that an engine serves or loads.

use serde::{Deserialize, Serialize};

/// Model version with the adapters that are loaded for it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedVersion {
    pub model: String,
    /// Version of `model`.
    pub version: String,
    /// Names of the adapters; omitted if there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
}
