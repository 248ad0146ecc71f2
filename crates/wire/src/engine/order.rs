//! Order to an engine.

use crate::engine::{loaded_version::LoadedVersion, role::EngineRole};
use serde::{Deserialize, Serialize};

/// Change that an order demands. Each action describes a target state, which makes it idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum OrderAction {
    /// The version is loaded, with at least these adapters.
    Load(LoadedVersion),
    /// The version is not loaded if `adapters` is empty; otherwise these adapters are not loaded.
    Unload(LoadedVersion),
    /// Exactly these versions are loaded.
    SetLoaded {
        /// Versions that the engine serves, with their adapters.
        versions: Vec<LoadedVersion>,
    },
    /// The engine has this role.
    SetRole {
        /// Role that the engine changes to.
        role: EngineRole,
    },
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// Fencing token of the sender's lease.
    pub fencing_token: u64,
    /// Actions, which the engine applies in this order.
    pub actions: Vec<OrderAction>,
}
