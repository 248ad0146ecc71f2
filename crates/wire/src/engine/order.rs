//! Orders that change which model versions an engine serves, and its role.

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
        /// All versions that the engine is to serve, each with all its adapters.
        versions: Vec<LoadedVersion>,
    },
    /// The engine's role is the given one.
    SetRole {
        /// Target role, which replaces the current one.
        role: EngineRole,
    },
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// Fencing token of the lease under which the order was sent.
    pub fencing_token: u64,
    /// Actions, which the engine applies one after the other, from first to last.
    pub actions: Vec<OrderAction>,
}
