//! Roles of engines and the number of engines for each role.

use serde::{Deserialize, Serialize};

/// Part of the inference work that an engine does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Decoding only.
    Decode,
    /// Prefill and decoding.
    Mixed,
    /// Prefill only, that is, processing of prompts.
    Prefill,
}

/// Role with the number of engines that a model wants for it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoleCount {
    /// Role that the engines are ordered to take.
    pub role: EngineRole,
    /// Desired number of engines with the role, among the engines of the model's service.
    pub engines: u32,
}
