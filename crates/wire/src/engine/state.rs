//! Message in which an engine reports its complete state.

use crate::engine::{
    counters::EngineCounters, load::EngineLoad, loaded_version::LoadedVersion, role::EngineRole,
};
use serde::{Deserialize, Serialize};

/// Response to `GET /state`. Unlike the response to `GET /load`, it does not lag.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Model versions that the engine serves; absent if it serves every version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loaded: Option<Vec<LoadedVersion>>,
    /// Model versions whose weights are being loaded.
    #[serde(default)]
    pub loading: Vec<LoadedVersion>,
    pub role: EngineRole,
    /// Largest fencing token of the orders that took effect; 0 before the first order.
    pub last_fencing_token: u64,
    /// Load at the time of the response.
    pub load: EngineLoad,
    /// Identifiers of the requests in the batch, without those in the queue.
    #[serde(default)]
    pub active: Vec<String>,
    /// Work that the engine has done since it started.
    pub counters: EngineCounters,
}
