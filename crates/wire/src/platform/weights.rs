//! Messages between engines and the weight store, which transfers the weights of models.

use serde::{Deserialize, Serialize};

/// Body of `POST /weights`. The response is sent once the weights are transferred. Status 429 means that the store is
/// busy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightRequest {
    /// Name of the model whose weights are requested.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Names of the adapters to transfer; omitted if there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
}

/// Response to `POST /weights` after a complete transfer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightsSent {
    /// Total size of the transferred weights in bytes.
    pub size_bytes: u64,
}
