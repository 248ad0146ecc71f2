//! Messages of the weight store.

use serde::{Deserialize, Serialize};

/// Body of `POST /weights`. The answer arrives once the weights are transferred. Status 429 means that the store is
/// busy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightRequest {
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Adapters of the version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
}

/// Answer to `POST /weights` after a complete transfer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightsSent {
    /// Size of the transferred weights.
    pub size_bytes: u64,
}
