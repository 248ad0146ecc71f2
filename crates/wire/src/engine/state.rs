//! State of an engine.

use crate::engine::{
    counters::EngineCounters, load::EngineLoad, loaded_version::LoadedVersion, role::EngineRole,
};
use serde::{Deserialize, Serialize};

/// Answer to `GET /state`. Unlike `EngineLoad`, it is current.
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
    /// Current load.
    pub load: EngineLoad,
    /// Identifiers of the requests in the batch.
    #[serde(default)]
    pub active: Vec<String>,
    /// Counters since the start of the engine.
    pub counters: EngineCounters,
}
