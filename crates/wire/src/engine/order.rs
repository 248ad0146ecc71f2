//! Order to an engine.

use crate::engine::{loaded_version::LoadedVersion, role::EngineRole};
use serde::{Deserialize, Serialize};

/// Change that an order demands. Each action states an end state, so that repeating it changes nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum OrderAction {
    /// The version is loaded, with at least these adapters.
    Load(LoadedVersion),
    /// The version is not loaded if `adapters` is empty; otherwise these adapters are not loaded.
    Unload(LoadedVersion),
    /// Exactly these versions are loaded.
    SetLoaded {
        /// All versions with their adapters.
        versions: Vec<LoadedVersion>,
    },
    /// The engine has this role.
    SetRole {
        /// New role.
        role: EngineRole,
    },
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// Fencing token of the sender's lease.
    pub fencing_token: u64,
    /// Changes, in order.
    pub actions: Vec<OrderAction>,
}
